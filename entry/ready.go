package entry

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// readiness answers the balancer.
type readiness struct {
	http      *fasthttp.Server
	address   string
	isReady   func() bool
	isLeaving atomic.Bool
}

// readyTimeout bounds one question of the balancer.
const readyTimeout = 5 * time.Second

// listenReady answers the balancer at IP:port: 200 while isReady, else 503.
func listenReady(address string, isReady func() bool) (*readiness, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for readiness on %s", address)
	}
	r := &readiness{
		address: listener.Addr().String(),
		isReady: isReady,
	}
	r.http = &fasthttp.Server{
		Handler:               r.answer,
		ReadTimeout:           readyTimeout,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	go func() {
		// Serve ends with an error only when the listener was closed.
		_ = r.http.Serve(listener)
	}()
	return r, nil
}

// quiet drops what the HTTP library says of broken connections.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// answer answers one question.
func (r *readiness) answer(ctx *fasthttp.RequestCtx) {
	if r.isLeaving.Load() || !r.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// leave answers from now on that the daemon is not ready.
func (r *readiness) leave() {
	r.isLeaving.Store(true)
}

// close ends the server.
func (r *readiness) close() {
	// The process ends next; nobody is told more by a failure.
	_ = r.http.Shutdown()
}

// observe adds a time to a histogram, in milliseconds.
func (d *Daemon) observe(name string, took time.Duration) {
	const reservoir, alpha = 1028, 0.015
	known, ok := d.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha))
	}).(metrics.Histogram)
	if ok {
		known.Update(took.Milliseconds())
	}
}
