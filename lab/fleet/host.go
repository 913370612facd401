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
func (f *Fleet) stepDaemon(daemon *Host, now time.Time) {
	store := &table.Settling{
		Store: faultyStore{
			fleet:  f,
			daemon: daemon,
		},
	}
	f.sendOrders(daemon)
	f.settlePending(daemon, store)
	f.poll(daemon, store, now)
	f.pullFromPeers(daemon)
	f.probe(daemon, now)
	actions := daemon.Controller.Step()
	if actions.Refresh {
		daemon.polledAt = time.Time{}
	}
	for _, commit := range actions.Commits {
		commit.Transaction.ID = fmt.Sprintf("%s/%d", daemon.Controller.Self().ID, f.nextTransactionID())
		marked, marker := table.Mark(commit.Transaction)
		version, err := store.Store.Commit(context.Background(), marked)
		if table.IsCertain(err) {
			f.store.Drop(marker)
			daemon.Controller.Committed(commit, version, err)
			continue
		}
		daemon.pendingCommits = append(daemon.pendingCommits, pendingCommit{
			commit: commit,
			marker: marker,
		})
	}
	daemon.queuedOrders = append(daemon.queuedOrders, actions.Sends...)
}

// nextTransactionID returns the number of the next transaction.
func (f *Fleet) nextTransactionID() int {
	f.lastTransaction++
	return f.lastTransaction
}

// maxSettleAttempts is the number of attempts to determine the outcome of a commit before a
// daemon gives up.
const maxSettleAttempts = 24

// settlePending determines the outcome of commits whose answers were lost.
func (f *Fleet) settlePending(daemon *Host, store *table.Settling) {
	var unsettled []pendingCommit
	for _, pending := range daemon.pendingCommits {
		version, err := store.SettleOnce(context.Background(), pending.marker)
		pending.attempts++
		if !table.IsCertain(err) && pending.attempts < maxSettleAttempts {
			unsettled = append(unsettled, pending)
			continue
		}
		daemon.Controller.Committed(pending.commit, version, err)
	}
	daemon.pendingCommits = unsettled
}

// sendOrders sends the orders of the previous step. It drops an order if the lease under which
// it was decided no longer holds, because the daemon can have been paused in between.
func (f *Fleet) sendOrders(daemon *Host) {
	for _, send := range daemon.queuedOrders {
		if send.Lease.Check(lease.OrderMargin) == nil {
			f.ordersInFlight = append(f.ordersInFlight, orderInFlight{
				send:      send,
				arrivesAt: time.Now().Add(f.Delay(maxOrderDelay)),
			})
		}
	}
	daemon.queuedOrders = nil
}

// poll reads the changed rows and the VM list if the poll interval has passed.
func (f *Fleet) poll(daemon *Host, store *table.Settling, now time.Time) {
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
	daemon.Controller.LearnStore(result.Rows, result.Version, now)
	listed := make([]vm.VM, 0, len(f.List))
	for _, id := range f.IDs {
		if entry, ok := f.List[id]; ok {
			listed = append(listed, entry)
		}
	}
	daemon.Controller.LearnVMs(listed)
}

// pullFromPeers reads changes, reports and evidence from every reachable daemon.
func (f *Fleet) pullFromPeers(daemon *Host) {
	if daemon.CutOff {
		return
	}
	for _, peer := range f.Hosts {
		if peer == daemon || peer.Paused || peer.CutOff {
			continue
		}
		id := peer.Controller.Self().ID
		rows, next, _ := peer.Controller.Changes(daemon.peerPositions[id], 10000)
		daemon.peerPositions[id] = next
		daemon.Controller.LearnRows(rows)
		received := peerExchange{
			receiver: daemon,
			rows:     rows,
			reports:  append(peer.Controller.Contact().Reports(), peer.Controller.OwnReport()),
			evidence: peer.Controller.AllEvidence(),
		}
		daemon.Controller.LearnReports(received.reports, received.evidence)
		if f.pastExchanges = append(f.pastExchanges, received); len(f.pastExchanges) > 400 {
			f.pastExchanges = f.pastExchanges[200:]
		}
	}
}

// HearAgain redelivers a past exchange to the daemon that received it.
func (f *Fleet) HearAgain(daemon *Host, index int) {
	past := f.pastExchanges[index%len(f.pastExchanges)]
	if past.receiver != daemon {
		return
	}
	daemon.Controller.LearnRows(past.rows)
	daemon.Controller.LearnReports(past.reports, past.evidence)
}

// Request starts a caller's request at a group that a daemon would route to, if the group's
// first member accepts it.
func (f *Fleet) Request(daemon *Host, index int, duration time.Duration) {
	snapshot := daemon.Controller.Snapshot()
	groups := snapshot.Serveable("m", time.Now())
	if len(groups) == 0 {
		return
	}
	record := groups[index%len(groups)]
	leader := f.Servers[record.Members[0].VM]
	isMember := leader.State.Group == record.Name && leader.State.Generation == record.Generation
	if leader.isAnswering() && (isMember || !leader.VM.ChecksOrders) && leader.State.Loaded {
		leader.Ends = append(leader.Ends, time.Now().Add(duration))
		leader.State.InFlight = len(leader.Ends)
	}
}

// probe probes the servers that the daemon has to probe.
func (f *Fleet) probe(daemon *Host, now time.Time) {
	for _, target := range daemon.Controller.Targets() {
		server := f.Servers[target.ID]
		if server.isAnswering() {
			daemon.Controller.LearnProbe(target.ID, now, server.State)
		} else {
			daemon.Controller.LearnSilence(target.ID, now, server.Dead)
		}
	}
}
