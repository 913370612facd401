// Package vmlist is the stand-in for the platform's list of live and leaving VMs. Changes
// become visible after a delay.
package vmlist

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/vm"
)

// pendingChange replaces or removes an entry from visibleAt on.
type pendingChange struct {
	entry     vm.VM
	isRemoval bool
	visibleAt time.Time
}

// List is the VM list. Use New.
type List struct {
	delay   time.Duration
	mutex   sync.Mutex
	visible map[string]vm.VM
	pending []pendingChange
}

// New returns a list of VMs. Later changes become visible after delay.
func New(delay time.Duration, vms []vm.VM) *List {
	visible := map[string]vm.VM{}
	for _, entry := range vms {
		visible[entry.ID] = entry
	}
	return &List{
		delay:   delay,
		visible: visible,
	}
}

// SetState changes the state of a VM after the delay. It does nothing if the VM is not listed.
func (l *List) SetState(id string, state vm.State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry, ok := l.visible[id]
	if !ok {
		return
	}
	entry.State = state
	l.pending = append(l.pending, pendingChange{
		entry:     entry,
		visibleAt: time.Now().Add(l.delay),
	})
}

// Remove removes a VM from the list after the delay.
func (l *List) Remove(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, pendingChange{
		entry: vm.VM{
			ID: id,
		},
		isRemoval: true,
		visibleAt: time.Now().Add(l.delay),
	})
}

// VMs returns the visible entries, sorted by id.
func (l *List) VMs() []vm.VM {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyDue(time.Now())
	vms := make([]vm.VM, 0, len(l.visible))
	for _, entry := range l.visible {
		vms = append(vms, entry)
	}
	sort.Slice(vms, func(i, j int) bool {
		return vms[i].ID < vms[j].ID
	})
	return vms
}

// applyDue applies the changes whose delay has passed. The mutex is held.
func (l *List) applyDue(now time.Time) {
	var waiting []pendingChange
	for _, due := range l.pending {
		switch {
		case now.Before(due.visibleAt):
			waiting = append(waiting, due)
		case due.isRemoval:
			delete(l.visible, due.entry.ID)
		default:
			l.visible[due.entry.ID] = due.entry
		}
	}
	l.pending = waiting
}

// Handler serves the list as JSON over HTTP. POST /lab/state?vm=ID&state=leaving changes
// the state of a VM, and POST /lab/remove?vm=ID removes it.
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
