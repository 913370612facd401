package entry

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/io/logline"
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
		Logger:                logline.Quiet{},
	}
	go func() {
		// Serve ends with an error only when the listener was closed.
		_ = r.http.Serve(listener)
	}()
	return r, nil
}

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
