// Package fault injects faults into a running stand-in.
//
// A Switch wraps the handler of a stand-in. Its faults are set by POST /lab/faults, for
// example {"slow_ms":400} or {"lose_answers":true}, or by the process that embeds the
// stand-in. "down" answers 503 before the request is processed. "dark" closes the connection
// before the request is processed. "lose_answers" processes the request and then closes the
// connection, so that the caller can't tell whether it was processed. "slow_ms" delays each
// request by that many milliseconds, and "paused" holds requests back until it is cleared.
package fault

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the active faults of a stand-in. The zero value has none.
type Faults struct {
	Down         bool `json:"down"`
	DropRequests bool `json:"dark"`
	LoseAnswers  bool `json:"lose_answers"`
	SlowMS       int  `json:"slow_ms"`
	Paused       bool `json:"paused"`
}

// Switch holds the faults of one stand-in. The zero value has none.
type Switch struct {
	mutex   sync.Mutex
	faults  Faults
	resumed chan struct{}
}

// Set replaces the faults. Clearing Paused releases the requests that wait.
func (s *Switch) Set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.Paused && s.resumed == nil {
		s.resumed = make(chan struct{})
	}
	if !faults.Paused && s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// Get returns the faults.
func (s *Switch) Get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// WaitWhilePaused returns as soon as the stand-in is not paused.
func (s *Switch) WaitWhilePaused() {
	s.mutex.Lock()
	resumed := s.resumed
	s.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Wrap returns a handler that applies the faults to next.
func (s *Switch) Wrap(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/lab/faults" {
			s.serveFaults(ctx)
			return
		}
		s.WaitWhilePaused()
		faults := s.Get()
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		switch {
		case faults.DropRequests:
			dropConnection(ctx)
		case faults.Down:
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
		default:
			next(ctx)
			if s.Get().LoseAnswers {
				dropConnection(ctx)
			}
		}
	}
}

// serveFaults returns the faults and, on POST, sets them first.
func (s *Switch) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Set(faults)
	}
	body, err := json.Marshal(s.Get())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.Close()
	})
}
