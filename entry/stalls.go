package entry

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// stallTable tells the leader which groups stand still; the key is the group.
const stallTable = "stalls"

// Figures of telling.
const (
	// stallQueue bounds stalls that wait to be told.
	stallQueue = 64
	// tellAgain is the time between two looks into one group.
	tellAgain = 700 * time.Millisecond
	// tellSpread is the time over which daemons spread their words: the first
	// one takes about 15 ms to reach the others.
	tellSpread = 80 * time.Millisecond
	// stallWait is how long one call waits for words of stalls.
	stallWait = 10 * time.Second
	// tellTime bounds one call.
	tellTime = time.Second
)

// stall is a row of stallTable.
type stall struct {
	Epoch int64  `json:"epoch"`
	By    string `json:"by"`
	// Silent is the member that did not answer; empty where one is slow.
	Silent string `json:"silent,omitempty"`
}

// Stalled notes a group at which requests stand still. It never waits.
func (d *Daemon) Stalled(server fleet.Server) {
	if server.Membership.State == fleet.NoGroup {
		return
	}
	select {
	case d.stalls <- server:
	default:
	}
}

// toldStalls are the stalls that the store tells of. The zero value is empty.
type toldStalls struct {
	mutex  sync.Mutex
	stalls map[string]stall
	heard  func(group string, told stall)
}

// listen has heard called for each stall, those that are known first; nil ends
// it.
func (t *toldStalls) listen(heard func(group string, told stall)) {
	t.mutex.Lock()
	t.heard = heard
	known := maps.Clone(t.stalls)
	t.mutex.Unlock()
	if heard == nil {
		return
	}
	for group, told := range known {
		heard(group, told)
	}
}

// take takes a row.
func (t *toldStalls) take(group string, told stall) {
	t.mutex.Lock()
	if t.stalls == nil {
		t.stalls = map[string]stall{}
	}
	t.stalls[group] = told
	heard := t.heard
	t.mutex.Unlock()
	if heard != nil {
		heard(group, told)
	}
}

// forget notes that a row is gone.
func (t *toldStalls) forget(group string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.stalls, group)
}

// IsTroubled tells whether requests are known, by any daemon's word, to stand still
// or to be slow at a server's group.
func (d *Daemon) IsTroubled(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.told.has(server.Membership)
}

// has tells whether a group's stall has been told.
func (t *toldStalls) has(m fleet.Membership) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stalls[m.Group].Epoch == m.Epoch
}

// stallFollower follows the stalls that the store tells of.
func (d *Daemon) stallFollower() *rowstore.Follower {
	take := func(rows []rowstore.Row, _ int64, _ time.Time) {
		for _, row := range rows {
			if row.Deleted {
				d.told.forget(row.Key)
				continue
			}
			var told stall
			if err := json.Unmarshal(row.Value, &told); err != nil {
				d.log.Error("groups: stall not taken", zap.String("group", row.Key), logline.Err(errors.Wrap(err, "decode stall")))
				continue
			}
			d.told.take(row.Key, told)
		}
	}
	return &rowstore.Follower{
		Store:    d.chain,
		Table:    stallTable,
		Wait:     stallWait,
		Whole:    take,
		Changed:  take,
		Hub:      &d.hub,
		Failed:   d.noteTrouble(stallTable),
		Restored: d.noteRestored(stallTable),
		Clock:    &d.clock,
	}
}

// tellStalls looks into stalls until ctx ends. Most are only a busy group; so
// the group's members are asked for a sign of life first, and the store is told
// only if one of them does not answer.
func (d *Daemon) tellStalls(ctx context.Context) {
	looked := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-d.stalls:
			group := server.Membership.Group
			if time.Since(looked[group]) < tellAgain {
				continue
			}
			looked[group] = time.Now()
			go d.lookInto(ctx, server)
		}
	}
}

// lookInto asks the members of a server's group for a sign of life and their pace,
// and tells the store if one of them does not answer twice, or is slow.
func (d *Daemon) lookInto(ctx context.Context, head fleet.Server) {
	symptoms := make(chan symptom)
	members := d.view.Load().Fleet.Members(head.Membership)
	for _, member := range members {
		go func() {
			symptoms <- d.examine(member)
		}()
	}
	worst := symptom{}
	for range members {
		worst = worst.orWorse(<-symptoms)
	}
	if worst.server == "" {
		return
	}
	// Daemons notice together; the first one's word saves the others theirs.
	time.Sleep(rand.N(tellSpread))
	if !d.told.has(head.Membership) {
		d.tellStall(ctx, head, worst)
	}
}

// symptom is what is wrong with a member of a group; the zero value: nothing.
type symptom struct {
	server string
	found  assembly.Found
}

// orWorse returns the worse of two symptoms: silence before slowness.
func (s symptom) orWorse(other symptom) symptom {
	if s.server == "" || (other.server != "" && other.found.Sign != assembly.Alive) {
		return other
	}
	return s
}

// examine returns what is wrong with a server, as far as two probes tell: a packet
// may get lost.
func (d *Daemon) examine(server fleet.Server) symptom {
	const tries = 2
	var found assembly.Found
	for range tries {
		found = d.workers.Probe(server)
		if found.Sign == assembly.Alive && !found.IsSlow() {
			return symptom{}
		}
		if found.IsSlow() {
			break
		}
	}
	return symptom{
		server: server.ID,
		found:  found,
	}
}

// tellStall writes one stall.
func (d *Daemon) tellStall(ctx context.Context, server fleet.Server, why symptom) {
	m := server.Membership
	told := stall{
		Epoch: m.Epoch,
		By:    d.settings.Name,
	}
	if why.found.Sign != assembly.Alive {
		told.Silent = why.server
	}
	encoded, err := json.Marshal(told)
	if err != nil {
		d.log.Error("groups: stall not told", logline.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	_, err = d.store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{
			{
				Table: stallTable,
				Key:   m.Group,
			},
		},
		Writes: []rowstore.Row{
			{
				Table: stallTable,
				Key:   m.Group,
				Value: encoded,
			},
		},
	})
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		return
	}
	d.log.Info("groups: requests stand still or are slow", zap.String("group", m.Group), zap.Int64("epoch", m.Epoch), zap.String("head", server.ID), zap.String("member", why.server), zap.String("sign", why.found.Sign.String()), zap.Float64("pace", why.found.Pace), logline.Err(err))
}
