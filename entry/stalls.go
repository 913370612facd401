package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/core/settings"
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
	// tellTime bounds one call.
	tellTime = time.Second
)

// stall is a row of stallTable.
type stall struct {
	Epoch int64  `json:"epoch"`
	By    string `json:"by"`
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

// lookInto asks the members of a server's group for a sign of life, and tells
// the store if one of them does not answer twice.
func (d *Daemon) lookInto(ctx context.Context, head fleet.Server) {
	signs := make(chan string)
	members := d.view.Load().Fleet.Members(head.Membership)
	for _, member := range members {
		go func() {
			if d.workers.Probe(member) == assembly.Alive || d.workers.Probe(member) == assembly.Alive {
				signs <- ""
				return
			}
			signs <- member.ID
		}()
	}
	silent := ""
	for range members {
		silent = cmp.Or(<-signs, silent)
	}
	if silent != "" {
		d.tellStall(ctx, head, silent)
	}
}

// tellStall writes one stall.
func (d *Daemon) tellStall(ctx context.Context, server fleet.Server, silent string) {
	m := server.Membership
	encoded, err := json.Marshal(stall{
		Epoch: m.Epoch,
		By:    d.settings.Name,
	})
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
	d.log.Info("groups: requests stand still", zap.String("group", m.Group), zap.Int64("epoch", m.Epoch), zap.String("head", server.ID), zap.String("silent_member", silent), logline.Err(err))
}

// daemonTable lists the daemons, so that each knows its part of the retries.
const daemonTable = "daemons"

// Figures of the list.
const (
	// fewestDaemons is assumed until the list is read: a daemon that knows no
	// others spends little.
	fewestDaemons = 16
	// countEvery is the time between two looks at the list.
	countEvery = 20 * time.Second
	countRetry = time.Second
	// burstPart is the part of the burst that is divided: daemons that restart
	// begin with a whole part again.
	burstPart = 0.5
)

// budgetBurst returns one daemon's part of the burst of retries.
func budgetBurst(known settings.Settings, daemons int) float64 {
	return max(1, burstPart*known.RetryBurst/float64(daemons))
}

// countDaemons writes this daemon into the list once, and looks at the list
// from time to time. Rows of VMs that are gone stay, so the count is never too
// small and the parts never add up to too much.
func (d *Daemon) countDaemons(ctx context.Context) {
	isListed := false
	for ctx.Err() == nil {
		if !isListed {
			isListed = d.listSelf(ctx)
		}
		wait := countRetry
		if isListed && d.readDaemons(ctx) {
			wait = countEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// listSelf writes this daemon's row.
func (d *Daemon) listSelf(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	_, err := d.store.Commit(ctx, rowstore.Transaction{
		Writes: []rowstore.Row{
			{
				Table: daemonTable,
				Key:   d.settings.Name,
				Value: []byte(d.settings.Zone),
			},
		},
	})
	return err == nil
}

// readDaemons divides the retries by the number of daemons in the list.
func (d *Daemon) readDaemons(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	result, err := d.store.Read(ctx, daemonTable)
	if err != nil || len(result.Rows) == 0 {
		return false
	}
	burst := budgetBurst(d.settings, len(result.Rows))
	d.budget.SetFigures(d.settings.RetryShare, burst)
	d.log.Info("daemons: counted", zap.Int("daemons", len(result.Rows)), zap.String("retry_burst", strconv.FormatFloat(burst, 'f', 1, 64)))
	return true
}
