package fleet

import (
	"context"
	"fmt"
	"time"

	"headcourse/core/catalog"
	"headcourse/core/lease"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// stepHost is one round of one daemon.
func (f *Fleet) stepHost(one *Host, now time.Time) {
	store := &table.Settling{
		Store: faultyStore{
			fleet: f,
			host:  one,
		},
	}
	f.sendOrders(one)
	f.settlePending(one, store)
	f.poll(one, store, now)
	f.pull(one)
	f.probe(one, now)
	actions := one.Controller.Step()
	if actions.Refresh {
		one.polledAt = time.Time{}
	}
	for _, commit := range actions.Commits {
		commit.Transaction.ID = fmt.Sprintf("%s/%d", one.Controller.Self().ID, f.nextID())
		marked, marker := table.Mark(commit.Transaction)
		version, err := store.Store.Commit(context.Background(), marked)
		if table.IsCertain(err) {
			f.memory.Drop(marker)
			one.Controller.Committed(commit, version, err)
			continue
		}
		one.pending = append(one.pending, pendingCommit{
			commit: commit,
			marker: marker,
		})
	}
	one.sends = append(one.sends, actions.Sends...)
}

// nextID numbers transactions.
func (f *Fleet) nextID() int {
	f.numbered++
	return f.numbered
}

// maxSettles is how often a daemon tries to settle before it gives up.
const maxSettles = 24

// settlePending settles commits whose answers were lost.
func (f *Fleet) settlePending(one *Host, store *table.Settling) {
	var left []pendingCommit
	for _, pending := range one.pending {
		version, err := store.SettleOnce(context.Background(), pending.marker)
		pending.tries++
		if !table.IsCertain(err) && pending.tries < maxSettles {
			left = append(left, pending)
			continue
		}
		one.Controller.Committed(pending.commit, version, err)
	}
	one.pending = left
}

// sendOrders sends the orders decided in the round before, if the lease that
// each was decided under still holds: a daemon may have been paused between.
func (f *Fleet) sendOrders(one *Host) {
	for _, send := range one.sends {
		if send.Lease.Check(lease.OrderMargin) == nil {
			f.orders = append(f.orders, travelling{
				send:    send,
				arrives: time.Now().Add(f.Delay(maxTravel)),
			})
		}
	}
	one.sends = nil
}

// poll reads the store when it is time.
func (f *Fleet) poll(one *Host, store *table.Settling, now time.Time) {
	if now.Sub(one.polledAt) < 2500*time.Millisecond {
		return
	}
	one.polledAt = now
	result, err := store.Scan(context.Background(), table.ScanRequest{
		Prefix: catalog.Prefix,
		After:  one.after,
	})
	if err != nil {
		return
	}
	one.after = result.Version
	one.Controller.LearnStore(result.Rows, result.Version, now)
	listed := make([]vm.VM, 0, len(f.List))
	for _, id := range f.IDs {
		if entry, ok := f.List[id]; ok {
			listed = append(listed, entry)
		}
	}
	one.Controller.LearnVMs(listed)
}

// pull learns from the other daemons that can be reached.
func (f *Fleet) pull(one *Host) {
	if one.CutOff {
		return
	}
	for _, other := range f.Hosts {
		if other == one || other.Paused || other.CutOff {
			continue
		}
		id := other.Controller.Self().ID
		rows, next, _ := other.Controller.Changes(one.positions[id], 10000)
		one.positions[id] = next
		one.Controller.LearnRows(rows)
		said := heard{
			by:       one,
			rows:     rows,
			reports:  append(other.Controller.Contact().Reports(), other.Controller.OwnReport()),
			evidence: other.Controller.AllEvidence(),
		}
		one.Controller.LearnReports(said.reports, said.evidence)
		if f.heard = append(f.heard, said); len(f.heard) > 400 {
			f.heard = f.heard[200:]
		}
	}
}

// HearAgain lets a daemon hear once more what was said before.
func (f *Fleet) HearAgain(one *Host, index int) {
	said := f.heard[index%len(f.heard)]
	if said.by != one {
		return
	}
	one.Controller.LearnRows(said.rows)
	one.Controller.LearnReports(said.reports, said.evidence)
}

// Request lets a caller's request begin at a group that a daemon would route
// to, if the group's first member takes it.
func (f *Fleet) Request(one *Host, index int, takes time.Duration) {
	snapshot := one.Controller.Snapshot()
	groups := snapshot.Serveable("m", time.Now())
	if len(groups) == 0 {
		return
	}
	record := groups[index%len(groups)]
	leader := f.Servers[record.Members[0].VM]
	isPart := leader.State.Group == record.Name && leader.State.Generation == record.Generation
	if leader.answers() && (isPart || !leader.VM.ChecksOrders) && leader.State.Loaded {
		leader.Ends = append(leader.Ends, time.Now().Add(takes))
		leader.State.InFlight = len(leader.Ends)
	}
}

// probe probes the daemon's targets.
func (f *Fleet) probe(one *Host, now time.Time) {
	for _, target := range one.Controller.Targets() {
		found := f.Servers[target.ID]
		if found.answers() {
			one.Controller.LearnProbe(target.ID, now, found.State)
		} else {
			one.Controller.LearnSilence(target.ID, now, found.Dead)
		}
	}
}
