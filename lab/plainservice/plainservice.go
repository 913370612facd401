// Package plainservice is the stand-in for a plain application service on one
// VM: it answers JSON under any path, and keeps a ledger of what it ran, so
// that doubled requests can be found.
package plainservice

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/order"
	"headcourse/lab/fault"
	"headcourse/lab/server"
)

// Service is one running stand-in. Use Start.
type Service struct {
	vm     string
	took   time.Duration
	server *server.Server
	faults fault.Switch
	mutex  sync.Mutex
	active int
	ledger map[string]int
}

// Start runs the service of a VM on an address; each answer takes took.
func Start(vm, address string, took time.Duration) (*Service, error) {
	started := &Service{
		vm:     vm,
		took:   took,
		ledger: map[string]int{},
	}
	running, err := server.Start(address, started.faults.Wrap(started.serve))
	if err != nil {
		return nil, err
	}
	started.server = running
	return started, nil
}

// Address returns the IP:port listened on.
func (s *Service) Address() string {
	return s.server.Address()
}

// Faults returns the service's faults, to be set.
func (s *Service) Faults() *fault.Switch {
	return &s.faults
}

// Kill stops the service as a crash would.
func (s *Service) Kill() {
	s.server.Kill()
}

// Revive starts a killed service again.
func (s *Service) Revive() error {
	return s.server.Revive()
}

// Ledger returns how often each body was run by method and path.
func (s *Service) Ledger() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.ledger))
	for id, count := range s.ledger {
		copied[id] = count
	}
	return copied
}

// echo is the body of an answer.
type echo struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// serve answers one request with what it asked.
func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/state" {
		s.serveState(ctx)
		return
	}
	s.mutex.Lock()
	s.active++
	s.ledger[string(ctx.Method())+" "+string(ctx.Path())+" "+string(ctx.PostBody())]++
	s.mutex.Unlock()
	time.Sleep(s.took)
	s.mutex.Lock()
	s.active--
	s.mutex.Unlock()
	body, err := json.Marshal(echo{
		Path: string(ctx.Path()),
		Echo: string(ctx.PostBody()),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveState answers a probe.
func (s *Service) serveState(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	active := s.active
	s.mutex.Unlock()
	body, err := json.Marshal(order.State{
		VM:       s.vm,
		Loaded:   true,
		InFlight: active,
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
