// Package plainservice is the stand-in for a plain application service on one VM. It answers
// any path with JSON and records each request that it ran in a ledger, so that duplicate
// executions can be found.
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

// Service is a running stand-in. Use Start.
type Service struct {
	vm          string
	answerDelay time.Duration
	server      *server.Server
	faults      fault.Switch
	mutex       sync.Mutex
	inFlight    int
	ledger      map[string]int
}

// Start starts the service of a VM on an address. Each answer is delayed by answerDelay.
func Start(vm, address string, answerDelay time.Duration) (*Service, error) {
	started := &Service{
		vm:          vm,
		answerDelay: answerDelay,
		ledger:      map[string]int{},
	}
	running, err := server.Start(address, started.faults.Wrap(started.serve))
	if err != nil {
		return nil, err
	}
	started.server = running
	return started, nil
}

// Address returns the IP:port that the service listens on.
func (s *Service) Address() string {
	return s.server.Address()
}

// Faults returns the switch that injects faults into the service.
func (s *Service) Faults() *fault.Switch {
	return &s.faults
}

// Kill simulates a crash of the service.
func (s *Service) Kill() {
	s.server.Kill()
}

// Restart restarts a killed service.
func (s *Service) Restart() error {
	return s.server.Restart()
}

// Ledger returns the number of executions of each request, by method, path and body.
func (s *Service) Ledger() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.ledger))
	for key, count := range s.ledger {
		copied[key] = count
	}
	return copied
}

// answerBody is the body of an answer.
type answerBody struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// serve records a request in the ledger and echoes its path and body.
func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/state" {
		s.serveState(ctx)
		return
	}
	s.mutex.Lock()
	s.inFlight++
	s.ledger[string(ctx.Method())+" "+string(ctx.Path())+" "+string(ctx.PostBody())]++
	s.mutex.Unlock()
	time.Sleep(s.answerDelay)
	s.mutex.Lock()
	s.inFlight--
	s.mutex.Unlock()
	body, err := json.Marshal(answerBody{
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
	inFlight := s.inFlight
	s.mutex.Unlock()
	body, err := json.Marshal(order.ServerState{
		VM:       s.vm,
		Loaded:   true,
		InFlight: inFlight,
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
