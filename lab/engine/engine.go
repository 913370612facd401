// Package engine is the stand-in for a model engine on one VM.
//
// It obeys fenced orders, reports its state, answers chat completions whole or
// as server-sent events, lets streams be resumed and cancelled, and batches as
// many requests as it has slots. The first member of a group answers for it,
// and stops when any other member stops answering, as a real replica would.
// What it answers depends only on the request, so that a caller can check that
// it got its own answer and all of it.
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

// Settings are the properties of one engine.
type Settings struct {
	VM string
	// Address is IP:port; port 0 picks a free one.
	Address string
	// ChecksOrders tells whether orders and requests are checked against the
	// generation.
	ChecksOrders bool
	Slots        int
	// LoadTime is how long a load takes after the weights were fetched.
	LoadTime time.Duration
	// FirstToken and EachToken are the times of an uncached answer.
	FirstToken time.Duration
	EachToken  time.Duration
	Weights    *weightstore.Store
}

// Engine is one running stand-in. Use Start.
type Engine struct {
	settings Settings
	server   *server.Server
	faults   fault.Switch

	mutex   sync.Mutex
	fence   order.Fence
	current order.Order
	loaded  bool
	// whole is false when another member was found missing.
	whole  bool
	life   context.CancelFunc
	runs   map[string]*run
	active int
	ledger map[string]int
	stale  int
}

// Start runs an engine until Stop.
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

// Address returns the IP:port listened on.
func (e *Engine) Address() string {
	return e.server.Address()
}

// Faults returns the engine's faults, to be set.
func (e *Engine) Faults() *fault.Switch {
	return &e.faults
}

// Kill stops the engine as a crash would: connections are cut, state is lost.
func (e *Engine) Kill() {
	e.server.Kill()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endLife()
	e.cutRuns()
	e.fence = order.Fence{}
	e.current = order.Order{}
	e.loaded = false
}

// Revive starts a killed engine again, empty.
func (e *Engine) Revive() error {
	return e.server.Revive()
}

// State returns what the engine says of itself.
func (e *Engine) State() order.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return order.State{
		VM:         e.settings.VM,
		Group:      e.current.Group,
		Generation: e.current.Generation,
		Model:      e.current.Model,
		Version:    e.current.Version,
		Loaded:     e.loaded,
		InFlight:   e.active,
		Slots:      e.settings.Slots,
	}
}

// Ledger returns how often each request was run, by request id.
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

// writeJSON writes a value with a status.
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

// serveOrder obeys an order, or refuses a stale one.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var received order.Order
	if err := json.Unmarshal(ctx.PostBody(), &received); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.obey(received) {
		ctx.Error("stale order", fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, e.State())
}

// obey carries out an order and tells whether it was admitted.
func (e *Engine) obey(received order.Order) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settings.ChecksOrders && !e.fence.Admits(received) {
		e.stale++
		return false
	}
	e.fence = order.Fence{
		Generation: received.Generation,
		Sequence:   received.Sequence,
	}
	isSame := e.current.Group == received.Group && e.current.Generation == received.Generation
	if received.Verb == order.Load && isSame {
		return true
	}
	e.endLife()
	e.cutRuns()
	e.loaded = false
	e.current = order.Order{}
	if received.Verb == order.Load {
		e.current = received
		ctx, cancel := context.WithCancel(context.Background())
		e.life = cancel
		go e.load(ctx, received)
	}
	return true
}

// load fetches the weights, then makes the engine ready and, on the first
// member, watches the others.
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
	e.whole = true
	e.mutex.Unlock()
	if len(received.Members) > 0 && received.Members[0] == e.settings.VM {
		e.watchMembers(ctx, received)
	}
}

// endLife ends the loading or watching of the present group. The mutex is held.
func (e *Engine) endLife() {
	if e.life != nil {
		e.life()
		e.life = nil
	}
}

// cutRuns breaks every stream under way. The mutex is held.
func (e *Engine) cutRuns() {
	for _, one := range e.runs {
		one.cut()
	}
}

// sleep waits for d, and tells whether ctx is still alive.
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

// watchEvery is the time between two looks at the other members.
const watchEvery = 150 * time.Millisecond

// missLimit is how often in a row another member may not answer.
const missLimit = 3

// watchMembers cuts all work as soon as another member is missing: when it
// says that it is not part of the group, or has not answered missLimit times.
func (e *Engine) watchMembers(ctx context.Context, received order.Order) {
	client := &fasthttp.Client{
		ReadTimeout:  4 * watchEvery,
		WriteTimeout: 4 * watchEvery,
	}
	misses := 0
	for sleep(ctx, watchEvery) {
		isWhole, isAnswered := true, true
		for _, address := range received.Addresses[1:] {
			isPart, err := answersFor(client, address, received)
			isAnswered = isAnswered && err == nil
			isWhole = isWhole && (isPart || err != nil)
		}
		misses++
		if isAnswered {
			misses = 0
		}
		isWhole = isWhole && misses < missLimit
		e.mutex.Lock()
		if !isWhole && ctx.Err() == nil {
			e.cutRuns()
		}
		e.whole = isWhole
		e.mutex.Unlock()
	}
}

// answersFor tells whether a member says that it is part of the group.
func answersFor(client *fasthttp.Client, address string, received order.Order) (bool, error) {
	_, body, err := client.Get(nil, "http://"+address+"/state")
	if err != nil {
		return false, err
	}
	var state order.State
	if err = json.Unmarshal(body, &state); err != nil {
		return false, err
	}
	return state.Group == received.Group && state.Generation == received.Generation, nil
}
