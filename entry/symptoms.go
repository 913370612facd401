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

// Figures of telling.
const (
	// stallQueue bounds stalls that wait to be reported.
	stallQueue = 64
	// stallLookPause is the time between two looks into one group.
	stallLookPause = 700 * time.Millisecond
	// reportSpread is the time over which daemons spread their reports: the first
	// one takes about 15 ms to reach the others.
	reportSpread = 80 * time.Millisecond
	// reportCallTime bounds one call.
	reportCallTime = time.Second
)

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

// runStallReports looks into stalls until ctx ends. Most are only a busy group; so
// the group's members are asked for a sign of life first, and the store is told
// only if one of them does not answer or is slow.
func (d *Daemon) runStallReports(ctx context.Context) {
	looked := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-d.stalls:
			group := server.Membership.Group
			if time.Since(looked[group]) < stallLookPause {
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
	var worst symptom
	for range members {
		worst = worst.orWorse(<-symptoms)
	}
	if !worst.isAny() {
		return
	}
	// Daemons notice together; the first one's report saves the others theirs.
	time.Sleep(rand.N(reportSpread))
	if d.reported.has(head.Membership) || d.hasEnded(head) || d.outage.Load().IsUnderWay() {
		// While the store is away nothing can be reported: the look after its return is.
		return
	}
	d.reportStall(ctx, head, worst)
}

// hasEnded tells whether the group of a head has ended while its members were asked.
func (d *Daemon) hasEnded(head fleet.Server) bool {
	known, ok := d.view.Load().Fleet.Known(head.ID)
	return !ok || !known.Membership.In(head.Membership.Group, head.Membership.Epoch)
}

// symptom is what is wrong with a member of a group; the zero value: nothing.
type symptom struct {
	server string
	found  assembly.Found
}

// isAny tells whether anything is wrong.
func (s symptom) isAny() bool {
	return s.server != ""
}

// isSilence tells whether the member did not answer.
func (s symptom) isSilence() bool {
	return s.isAny() && s.found.Sign != assembly.Alive
}

// orWorse returns the worse of two symptoms: silence before slowness.
func (s symptom) orWorse(other symptom) symptom {
	if !s.isAny() || other.isSilence() {
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
		if found.Sign == assembly.Alive {
			break
		}
	}
	if found.Sign == assembly.Alive && !found.IsSlow() {
		return symptom{}
	}
	return symptom{
		server: server.ID,
		found:  found,
	}
}

// reportStall writes one stall, unless another daemon has.
func (d *Daemon) reportStall(ctx context.Context, head fleet.Server, why symptom) {
	reported := stall{
		Epoch: head.Membership.Epoch,
		By:    d.settings.Name,
	}
	if why.isSilence() {
		reported.Silent = why.server
	}
	encoded, err := json.Marshal(reported)
	if err != nil {
		d.log.Error("groups: stall not reported", logline.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportCallTime)
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
		zap.String("member", why.server),
		zap.String("sign", why.found.Sign.String()),
		zap.Float64("pace", why.found.Pace),
		logline.Err(err))
}
