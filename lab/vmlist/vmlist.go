// Package vmlist is the stand-in for the platform's list of live and leaving
// VMs. Changes show only after a lag.
package vmlist

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/vm"
)

// change is an entry that shows from a time on; gone removes the VM.
type change struct {
	entry vm.VM
	gone  bool
	from  time.Time
}

// List is the list. Use New.
type List struct {
	lag     time.Duration
	mutex   sync.Mutex
	shown   map[string]vm.VM
	pending []change
}

// New returns a list of VMs whose later changes show after lag.
func New(lag time.Duration, vms []vm.VM) *List {
	shown := map[string]vm.VM{}
	for _, entry := range vms {
		shown[entry.ID] = entry
	}
	return &List{
		lag:   lag,
		shown: shown,
	}
}

// SetState changes a VM's state after the lag.
func (l *List) SetState(id string, state vm.State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry, ok := l.shown[id]
	if !ok {
		return
	}
	entry.State = state
	l.pending = append(l.pending, change{
		entry: entry,
		from:  time.Now().Add(l.lag),
	})
}

// Remove takes a VM off the list after the lag.
func (l *List) Remove(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, change{
		entry: vm.VM{
			ID: id,
		},
		gone: true,
		from: time.Now().Add(l.lag),
	})
}

// VMs returns the list as it shows now, in the order of ids.
func (l *List) VMs() []vm.VM {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyDue(time.Now())
	vms := make([]vm.VM, 0, len(l.shown))
	for _, entry := range l.shown {
		vms = append(vms, entry)
	}
	sort.Slice(vms, func(i, j int) bool {
		return vms[i].ID < vms[j].ID
	})
	return vms
}

// applyDue shows the changes whose lag has passed. The mutex is held.
func (l *List) applyDue(now time.Time) {
	var left []change
	for _, one := range l.pending {
		switch {
		case now.Before(one.from):
			left = append(left, one)
		case one.gone:
			delete(l.shown, one.entry.ID)
		default:
			l.shown[one.entry.ID] = one.entry
		}
	}
	l.pending = left
}

// Handler serves the list as JSON over HTTP. POST /lab/state?vm=ID&state=leaving
// changes a VM.
func Handler(list *List) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/vms":
			body, err := json.Marshal(list.VMs())
			if err != nil {
				ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
				return
			}
			ctx.SetContentType("application/json")
			ctx.SetBody(body)
		case "/lab/state":
			list.SetState(string(ctx.QueryArgs().Peek("vm")), vm.State(ctx.QueryArgs().Peek("state")))
		case "/lab/remove":
			list.Remove(string(ctx.QueryArgs().Peek("vm")))
		default:
			ctx.Error("no such path", fasthttp.StatusNotFound)
		}
	}
}
