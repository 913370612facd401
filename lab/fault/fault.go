// Package fault lets a stand-in misbehave on request while it runs.
//
// A Switch sits before a stand-in's handler. It is set by POST /lab/faults or
// by the process that embeds the stand-in, for example {"slow_ms":400} or
// {"lose_answers":true}. "Down" refuses before anything is done; "dark" drops
// the connection before anything is done; "lose_answers" does the work and
// then drops the connection, so that the caller cannot know.
package fault

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults is what is wrong with a stand-in now. The zero value is nothing.
type Faults struct {
	Down        bool `json:"down"`
	Dark        bool `json:"dark"`
	LoseAnswers bool `json:"lose_answers"`
	SlowMS      int  `json:"slow_ms"`
	Paused      bool `json:"paused"`
}

// Switch holds the faults of one stand-in. The zero value has none.
type Switch struct {
	mutex   sync.Mutex
	faults  Faults
	resumed chan struct{}
}

// Set replaces the faults. Clearing Paused lets held requests go on.
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

// WaitWhilePaused returns when the stand-in is not paused.
func (s *Switch) WaitWhilePaused() {
	s.mutex.Lock()
	resumed := s.resumed
	s.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Wrap returns the handler behind the switch.
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
		case faults.Dark:
			drop(ctx)
		case faults.Down:
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
		default:
			next(ctx)
			if s.Get().LoseAnswers {
				drop(ctx)
			}
		}
	}
}

// serveFaults reads and sets the faults over HTTP.
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

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.Close()
	})
}
