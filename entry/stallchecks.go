package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

const (
	// stallQueueCapacity bounds the stalls that wait to be checked.
	stallQueueCapacity = 64
	// stallCheckInterval is the minimum time between two checks of one group.
	stallCheckInterval = 700 * time.Millisecond
	// reportJitter spreads the reports of different daemons: the first one takes about 15 ms to
	// reach the others.
	reportJitter = 80 * time.Millisecond
	// writeTimeout bounds one call that writes reports or the daemon list.
	writeTimeout = time.Second
)

// ReportStall enqueues a check of a group at which requests stall. It does not block.
func (d *Daemon) ReportStall(server fleet.Server) {
	if server.Membership.State == fleet.NoGroup {
		return
	}
	select {
	case d.stalledHeads <- server:
	default:
	}
}

// runStallChecks checks stalled groups until ctx ends. Most of them are only busy, so the
// members are probed first. A stall is written to the store only if one of them does not answer
// or is slow.
func (d *Daemon) runStallChecks(ctx context.Context) {
	lastChecked := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-d.stalledHeads:
			group := server.Membership.Group
			// The leader itself probes the members of a reported group until they answer.
			if time.Since(lastChecked[group]) < stallCheckInterval || d.reportedStalls.contains(server.Membership) {
				continue
			}
			lastChecked[group] = time.Now()
			go d.checkGroup(ctx, server)
		}
	}
}

// checkGroup probes the members of a server's group and reports a stall if one of them does not
// answer twice or is slow.
func (d *Daemon) checkGroup(ctx context.Context, head fleet.Server) {
	faults := make(chan memberFault)
	members := d.view.Load().Fleet.Members(head.Membership)
	for _, member := range members {
		go func() {
			faults <- d.probeMember(member)
		}()
	}
	var worstFault memberFault
	unresponsive := 0
	for range members {
		fault := <-faults
		if fault.isUnresponsive() {
			unresponsive++
		}
		worstFault = worstFault.worse(fault)
	}
	d.log.Info("groups: members probed",
		zap.String("group", head.Membership.Group),
		zap.Int64("epoch", head.Membership.Epoch),
		zap.Int("members", len(members)),
		zap.Int("unresponsive", unresponsive),
		zap.String("member", worstFault.serverID))
	if !worstFault.isFault() {
		return
	}
	// Daemons notice a stall at the same time. The jitter lets the first report reach the
	// others before they write theirs.
	time.Sleep(rand.N(reportJitter))
	if d.reportedStalls.contains(head.Membership) || d.hasGroupEnded(head) || d.storeOutage.Load().IsOngoing() {
		// During an outage of the store nothing can be reported. A check after the outage
		// reports the stall.
		return
	}
	d.writeStall(ctx, head, worstFault)
}

// hasGroupEnded reports whether the group of a head ended while its members were probed.
func (d *Daemon) hasGroupEnded(head fleet.Server) bool {
	known, ok := d.view.Load().Fleet.ServerOrRemoved(head.ID)
	return !ok || !known.Membership.Matches(head.Membership.Group, head.Membership.Epoch)
}

// memberFault is a failed or slow probe of a group's member. The zero value means no fault.
type memberFault struct {
	serverID string
	probe    assembly.ProbeResult
}

// isFault reports whether there is a fault.
func (f memberFault) isFault() bool {
	return f.serverID != ""
}

// isUnresponsive reports whether the member did not answer.
func (f memberFault) isUnresponsive() bool {
	return f.isFault() && f.probe.Status != assembly.Answered
}

// worse returns the worse of two faults. An unresponsive member is worse than a slow one.
func (f memberFault) worse(other memberFault) memberFault {
	if !f.isFault() || other.isUnresponsive() {
		return other
	}
	return f
}

// probeMember probes a server and returns its fault, if any. It probes a second time if the
// first probe fails, since a packet may be lost.
func (d *Daemon) probeMember(server fleet.Server) memberFault {
	const attempts = 2
	var result assembly.ProbeResult
	for range attempts {
		result = d.engines.Probe(server)
		if result.Status == assembly.Answered {
			break
		}
	}
	if result.Status == assembly.Unknown || result.Status == assembly.Answered && !result.IsSlow() {
		return memberFault{}
	}
	return memberFault{
		serverID: server.ID,
		probe:    result,
	}
}

// writeStall writes a stall to the store, unless another daemon has.
func (d *Daemon) writeStall(ctx context.Context, head fleet.Server, fault memberFault) {
	reported := stall{
		Epoch:      head.Membership.Epoch,
		ReportedBy: d.settings.Name,
	}
	if fault.isUnresponsive() {
		reported.UnresponsiveMember = fault.serverID
	}
	encoded, err := json.Marshal(reported)
	if err != nil {
		d.log.Error("groups: stall not encoded", logline.ErrorField(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = d.store.Commit(ctx, rowstore.Transaction{
		Era: d.reportsEra.Load(),
		Conditions: []rowstore.Condition{
			{
				Table: reportTable,
				Key:   head.Membership.Group,
			},
		},
		Writes: []rowstore.Row{
			{
				Table: reportTable,
				Key:   head.Membership.Group,
				Value: encoded,
			},
		},
	})
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		return
	}
	d.log.Info("groups: requests stand still or are slow",
		zap.String("group", head.Membership.Group),
		zap.Int64("epoch", head.Membership.Epoch),
		zap.String("head", head.ID),
		zap.String("member", fault.serverID),
		zap.String("sign", fault.probe.Status.String()),
		zap.Float64("pace", fault.probe.Slowdown),
		logline.ErrorField(err))
}
