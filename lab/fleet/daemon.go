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

// stepDaemon runs one step of one daemon.
func (f *Fleet) stepDaemon(daemon *SimulatedDaemon, now time.Time) {
	store := &table.ResolvingStore{
		Store: faultyStore{
			fleet:  f,
			daemon: daemon,
		},
	}
	f.sendOrders(daemon)
	f.resolvePending(daemon, store)
	f.poll(daemon, store, now)
	f.pullFromPeers(daemon)
	f.probe(daemon, now)
	actions := daemon.Controller.Step()
	if actions.NeedsRefresh {
		daemon.polledAt = time.Time{}
	}
	for _, commit := range actions.Commits {
		commit.Transaction.ID = fmt.Sprintf("%s/%d", daemon.Controller.Self().ID, f.nextTransactionID())
		marked, marker := table.WithMarker(commit.Transaction)
		version, err := store.Store.Commit(context.Background(), marked)
		if table.IsOutcomeKnown(err) {
			f.store.Drop(marker)
			daemon.Controller.RecordCommit(commit, version, err)
			continue
		}
		daemon.pendingCommits = append(daemon.pendingCommits, pendingCommit{
			commit: commit,
			marker: marker,
		})
	}
	daemon.queuedOrders = append(daemon.queuedOrders, actions.Orders...)
}

// nextTransactionID returns the number of the next transaction.
func (f *Fleet) nextTransactionID() int {
	f.lastTransaction++
	return f.lastTransaction
}

// maxResolveAttempts is the number of attempts to determine the outcome of a commit before a
// daemon gives up.
const maxResolveAttempts = 24

// resolvePending determines the outcome of commits whose answers were lost.
func (f *Fleet) resolvePending(daemon *SimulatedDaemon, store *table.ResolvingStore) {
	var unresolved []pendingCommit
	for _, pending := range daemon.pendingCommits {
		version, err := store.ResolveOnce(context.Background(), pending.marker)
		pending.attempts++
		if !table.IsOutcomeKnown(err) && pending.attempts < maxResolveAttempts {
			unresolved = append(unresolved, pending)
			continue
		}
		daemon.Controller.RecordCommit(pending.commit, version, err)
	}
	daemon.pendingCommits = unresolved
}

// sendOrders sends the orders of the previous step. It drops an order if the lease under which
// it was decided is no longer valid for lease.OrderMargin, because the daemon can have been
// paused in between.
func (f *Fleet) sendOrders(daemon *SimulatedDaemon) {
	for _, outgoing := range daemon.queuedOrders {
		if outgoing.Lease.Check(lease.OrderMargin) == nil {
			f.ordersInFlight = append(f.ordersInFlight, orderInFlight{
				outgoing:  outgoing,
				arrivesAt: time.Now().Add(f.DrawDelay(maxOrderDelay)),
			})
		}
	}
	daemon.queuedOrders = nil
}

// poll reads the changed rows and the VM list if the poll interval has passed. It does not read
// the VM list if the store fails.
func (f *Fleet) poll(daemon *SimulatedDaemon, store *table.ResolvingStore, now time.Time) {
	if now.Sub(daemon.polledAt) < 2500*time.Millisecond {
		return
	}
	daemon.polledAt = now
	result, err := store.Scan(context.Background(), table.ScanRequest{
		Prefix: catalog.Prefix,
		After:  daemon.scannedVersion,
	})
	if err != nil {
		return
	}
	daemon.scannedVersion = result.Version
	daemon.Controller.ApplyScan(result.Rows, result.Version, now)
	listed := make([]vm.VM, 0, len(f.VMList))
	for _, id := range f.VMIDs {
		if entry, ok := f.VMList[id]; ok {
			listed = append(listed, entry)
		}
	}
	daemon.Controller.ApplyVMList(listed)
}

// pullFromPeers reads changes, reports and evidence from every reachable daemon.
func (f *Fleet) pullFromPeers(daemon *SimulatedDaemon) {
	if daemon.Partitioned {
		return
	}
	for _, peer := range f.Daemons {
		if peer == daemon || peer.Paused || peer.Partitioned {
			continue
		}
		id := peer.Controller.Self().ID
		rows, next, _ := peer.Controller.ChangedRows(daemon.peerPositions[id], 10000)
		daemon.peerPositions[id] = next
		daemon.Controller.ApplyRows(rows)
		received := peerExchange{
			receiver: daemon,
			rows:     rows,
			reports:  append(peer.Controller.Contact().Reports(), peer.Controller.OwnReport()),
			evidence: peer.Controller.AllEvidence(),
		}
		daemon.Controller.ApplyReports(received.reports, received.evidence)
		if f.pastExchanges = append(f.pastExchanges, received); len(f.pastExchanges) > 400 {
			f.pastExchanges = f.pastExchanges[200:]
		}
	}
}

// RedeliverExchange redelivers to a daemon the past exchange that index selects. It does nothing
// if another daemon received that exchange.
func (f *Fleet) RedeliverExchange(daemon *SimulatedDaemon, index int) {
	past := f.pastExchanges[index%len(f.pastExchanges)]
	if past.receiver != daemon {
		return
	}
	daemon.Controller.ApplyRows(past.rows)
	daemon.Controller.ApplyReports(past.reports, past.evidence)
}

// StartRequest starts a caller's request at a group that a daemon would route to, if the
// group's first member accepts it.
func (f *Fleet) StartRequest(daemon *SimulatedDaemon, index int, duration time.Duration) {
	snapshot := daemon.Controller.Snapshot()
	groups := snapshot.ServingGroups("m", time.Now())
	if len(groups) == 0 {
		return
	}
	record := groups[index%len(groups)]
	leader := f.Servers[record.Members[0].VM]
	isMember := leader.State.Group == record.Name && leader.State.Generation == record.Generation
	if leader.isAnswering() && (isMember || !leader.VM.ChecksOrders) && leader.State.Loaded {
		leader.RequestEnds = append(leader.RequestEnds, time.Now().Add(duration))
		leader.State.InFlight = len(leader.RequestEnds)
	}
}

// probe probes the servers that the daemon has to probe.
func (f *Fleet) probe(daemon *SimulatedDaemon, now time.Time) {
	for _, target := range daemon.Controller.ProbeTargets() {
		server := f.Servers[target.ID]
		if server.isAnswering() {
			daemon.Controller.RecordAnsweredProbe(target.ID, now, server.State)
		} else {
			daemon.Controller.RecordUnansweredProbe(target.ID, now, server.Crashed)
		}
	}
}
