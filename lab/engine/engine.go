// Package engine is the stand-in for a model engine on one VM.
//
// It applies orders that carry a fencing token, reports its state, and answers chat
// completions in one body or as server-sent events. Streams can be resumed and cancelled. It
// runs up to Settings.Slots requests at once. The first member of a group answers for the
// group and aborts its requests when another member stops answering, as a real replica would.
// An answer depends only on the request, so that a caller can verify that an answer is
// complete and its own.
package engine

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/order"
	"headcourse/lab/fault"
	"headcourse/lab/server"
	"headcourse/lab/weightstore"
)

// Settings configure one engine.
type Settings struct {
	VM string
	// Address is IP:port; port 0 selects a free port.
	Address string
	// ChecksOrders makes the engine reject stale orders and requests for another generation.
	ChecksOrders bool
	Slots        int
	// LoadTime is the duration of a load after the weights are fetched.
	LoadTime time.Duration
	// FirstTokenDelay is the delay of the first token, and TokenInterval the interval between
	// later tokens.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	Weights         *weightstore.Store
}

// Engine is a running stand-in. Use Start.
type Engine struct {
	settings Settings
	server   *server.Server
	faults   fault.Switch

	mutex   sync.Mutex
	fence   order.Fence
	current order.Order
	loaded  bool
	// complete is false while another member is missing from the group. Only the first member
	// checks this.
	complete    bool
	cancel      context.CancelFunc
	runs        map[string]*run
	inFlight    int
	ledger      map[string]int
	staleOrders int
}

// Start starts an engine.
func Start(settings Settings) (*Engine, error) {
	started := &Engine{
		settings: settings,
		runs:     map[string]*run{},
		ledger:   map[string]int{},
	}
	running, err := server.Start(settings.Address, started.faults.Wrap(started.serve))
	if err != nil {
		return nil, err
	}
	started.server = running
	return started, nil
}

// Address returns the IP:port that the engine listens on.
func (e *Engine) Address() string {
	return e.server.Address()
}

// Faults returns the switch that injects faults into the engine.
func (e *Engine) Faults() *fault.Switch {
	return &e.faults
}

// Kill simulates a crash: it closes all connections and discards the state, but not the ledger.
func (e *Engine) Kill() {
	e.server.Kill()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancelCurrentOrder()
	e.abortRuns()
	e.fence = order.Fence{}
	e.current = order.Order{}
	e.loaded = false
}

// Restart restarts a killed engine without its former state.
func (e *Engine) Restart() error {
	return e.server.Restart()
}

// State returns the state that the engine reports to probes.
func (e *Engine) State() order.ServerState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return order.ServerState{
		VM:         e.settings.VM,
		Group:      e.current.Group,
		Generation: e.current.Generation,
		Model:      e.current.Model,
		Version:    e.current.Version,
		Loaded:     e.loaded,
		InFlight:   e.inFlight,
		Slots:      e.settings.Slots,
	}
}

// Ledger returns the number of executions of each request, by request id.
func (e *Engine) Ledger() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	copied := make(map[string]int, len(e.ledger))
	for id, count := range e.ledger {
		copied[id] = count
	}
	return copied
}

// serve routes one HTTP request.
func (e *Engine) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/state":
		writeJSON(ctx, fasthttp.StatusOK, e.State())
	case path == "/orders" && ctx.IsPost():
		e.serveOrder(ctx)
	case path == "/v1/chat/completions" && ctx.IsPost():
		e.serveCompletion(ctx)
	case len(path) > len(streamsPath) && path[:len(streamsPath)] == streamsPath:
		e.serveStream(ctx, path[len(streamsPath):])
	case path == "/lab/ledger":
		writeJSON(ctx, fasthttp.StatusOK, e.Ledger())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// writeJSON writes a JSON value with a status code.
func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ----------------------------------------------------------------------------
// Orders

// serveOrder applies an order, or rejects it as stale.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var received order.Order
	if err := json.Unmarshal(ctx.PostBody(), &received); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.applyOrder(received) {
		ctx.Error("stale order", fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, e.State())
}

// applyOrder applies an order and reports whether the fencing token admitted it.
func (e *Engine) applyOrder(received order.Order) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settings.ChecksOrders && !e.fence.Accepts(received) {
		e.staleOrders++
		return false
	}
	e.fence = order.Fence{
		Generation: received.Generation,
		Sequence:   received.Sequence,
	}
	isSame := e.current.Group == received.Group && e.current.Generation == received.Generation
	if received.Action == order.Load && isSame {
		return true
	}
	e.cancelCurrentOrder()
	e.abortRuns()
	e.loaded = false
	e.current = order.Order{}
	if received.Action == order.Load {
		e.current = received
		ctx, cancel := context.WithCancel(context.Background())
		e.cancel = cancel
		go e.load(ctx, received)
	}
	return true
}

// load fetches the weights and marks the engine as loaded. The first member then checks the
// other members.
func (e *Engine) load(ctx context.Context, received order.Order) {
	if e.settings.Weights != nil && e.settings.Weights.Fetch(ctx) != nil {
		return
	}
	if !sleep(ctx, e.settings.LoadTime) {
		return
	}
	e.mutex.Lock()
	if ctx.Err() != nil {
		e.mutex.Unlock()
		return
	}
	e.loaded = true
	e.complete = true
	e.mutex.Unlock()
	if len(received.Members) > 0 && received.Members[0] == e.settings.VM {
		e.watchMembers(ctx, received)
	}
}

// cancelCurrentOrder cancels the load or the member checks of the current order. The mutex is
// held.
func (e *Engine) cancelCurrentOrder() {
	if e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
}

// abortRuns aborts every run in flight. The mutex is held.
func (e *Engine) abortRuns() {
	for _, active := range e.runs {
		active.abort()
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// memberCheckInterval is the time between two checks of the other members.
const memberCheckInterval = 150 * time.Millisecond

// maxConsecutiveMisses is the number of check rounds in a row with an unanswered check after
// which the group counts as incomplete.
const maxConsecutiveMisses = 3

// watchMembers aborts all runs when the group is incomplete: a member reports another group or
// generation, or some member did not answer in maxConsecutiveMisses check rounds in a row.
func (e *Engine) watchMembers(ctx context.Context, received order.Order) {
	client := &fasthttp.Client{
		ReadTimeout:  4 * memberCheckInterval,
		WriteTimeout: 4 * memberCheckInterval,
	}
	misses := 0
	for sleep(ctx, memberCheckInterval) {
		isComplete, allAnswered := true, true
		for _, address := range received.Addresses[1:] {
			isMember, err := isMemberOf(client, address, received)
			allAnswered = allAnswered && err == nil
			isComplete = isComplete && (isMember || err != nil)
		}
		misses++
		if allAnswered {
			misses = 0
		}
		isComplete = isComplete && misses < maxConsecutiveMisses
		e.mutex.Lock()
		if !isComplete && ctx.Err() == nil {
			e.abortRuns()
		}
		e.complete = isComplete
		e.mutex.Unlock()
	}
}

// isMemberOf reports whether a server's state names the group and generation of an order.
func isMemberOf(client *fasthttp.Client, address string, received order.Order) (bool, error) {
	_, body, err := client.Get(nil, "http://"+address+"/state")
	if err != nil {
		return false, err
	}
	var state order.ServerState
	if err = json.Unmarshal(body, &state); err != nil {
		return false, err
	}
	return state.Group == received.Group && state.Generation == received.Generation, nil
}
