package entry

import (
	"math/rand/v2"
	"strings"
	"time"

	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// A server names its limit to the daemons that send it requests; these tell all others by a row
// of toldTable for its start, written without a condition, and remove it when the limit is over.
// A daemon that is told sends no request just to learn of a limit, and one that has no part of
// it learns by the row's end only that it may use the server again. While no server names a
// limit, all this costs no call.

// limitPrefix is the beginning of keys of such rows; names of groups have no slash.
const limitPrefix = "limit/"

// isLimit tells whether a row of toldTable is of a limit.
func isLimit(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, limitPrefix)
}

// limitStart returns the start of a server that a limit's row is of.
func limitStart(row rowstore.Row) string {
	return strings.TrimPrefix(row.Key, limitPrefix)
}

// LimitHeard has other daemons told of a limit, if they do not know it. It never waits.
func (d *Daemon) LimitHeard(server fleet.Server, said ratelimit.Limit) {
	start := server.Start()
	if !d.notices.Wants(start, said) {
		return
	}
	// Daemons hear together; the first one's word saves the others theirs.
	time.AfterFunc(rand.N(tellSpread), func() {
		if d.notices.Speak(start, said) {
			d.tellLimit(start, said)
		}
	})
}

// tellLimit has a limit's row written, or removed where the limit is over.
func (d *Daemon) tellLimit(start string, limit ratelimit.Limit) {
	one := word{
		key: limitPrefix + start,
	}
	if limit.IsNamed {
		encoded, err := limit.Encode(d.settings.Name)
		if err != nil {
			d.log.Error("servers: limit not told", logline.Err(err))
			return
		}
		one.value = encoded
	}
	d.queueWord(one)
}

// takeLimit takes the row of a limit.
func (d *Daemon) takeLimit(row rowstore.Row) {
	start := limitStart(row)
	if row.Deleted {
		d.endLimit(start)
		return
	}
	limit, err := ratelimit.Decode(row.Value)
	if err != nil {
		d.noteBadRow(toldTable, row, err)
		return
	}
	d.notices.Take(start, limit)
	d.limits.Told(start, limit)
}

// endLimit notes that the row of a limit is gone.
func (d *Daemon) endLimit(start string) {
	d.notices.Remove(start)
	d.limits.Told(start, ratelimit.Limit{})
}

// keepLimits notes that limits are over that are not among the rows of the whole table.
func (d *Daemon) keepLimits(rows []rowstore.Row) {
	starts := map[string]bool{}
	for _, row := range rows {
		if isLimit(row) {
			starts[limitStart(row)] = true
		}
	}
	for _, start := range d.notices.Others(starts) {
		d.endLimit(start)
	}
}

// sweepLimits removes, where this daemon leads, the rows of limits of servers that are gone.
func (d *Daemon) sweepLimits() {
	d.notices.Sweep()
	if !d.isLeading.Load() {
		return
	}
	known := map[string]bool{}
	for _, server := range d.view.Load().Fleet.Servers() {
		known[server.Start()] = true
	}
	for _, start := range d.notices.Old() {
		if !known[start] {
			d.tellLimit(start, ratelimit.Limit{})
		}
	}
}
