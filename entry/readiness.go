package entry

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/io/logline"
	"headcourse/io/tcp"
)

// readiness answers the load balancer's readiness probes.
type readiness struct {
	http       *fasthttp.Server
	address    string
	isReady    func() bool
	isDraining atomic.Bool
}

// readinessTimeout bounds reading one probe.
const readinessTimeout = 5 * time.Second

// listenReadiness answers readiness probes at IP:port with 200 while isReady returns true,
// otherwise with 503.
func listenReadiness(address string, isReady func() bool) (*readiness, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for readiness on %s", address)
	}
	r := &readiness{
		address: listener.Addr().String(),
		isReady: isReady,
	}
	r.http = &fasthttp.Server{
		Handler:               r.handle,
		ReadTimeout:           readinessTimeout,
		NoDefaultServerHeader: true,
		Logger:                logline.Discard{},
	}
	go func() {
		// Serve returns an error only after the listener was closed.
		_ = r.http.Serve(listener)
	}()
	return r, nil
}

// handle answers one probe.
func (r *readiness) handle(ctx *fasthttp.RequestCtx) {
	if r.isDraining.Load() || !r.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// startDraining reports the daemon as not ready from now on.
func (r *readiness) startDraining() {
	r.isDraining.Store(true)
}

// close stops the server.
func (r *readiness) close() {
	// The process exits next, so an error would have no effect.
	_ = r.http.Shutdown()
}
