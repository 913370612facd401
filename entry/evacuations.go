package entry

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/evacuation"
	"headcourse/core/rowstore"
	"headcourse/io/gateway"
	"headcourse/platform"
)

// Operators evacuate a zone by a row beside the configuration's, so daemons follow both in one
// table: the evacuation reaches them all through the same relays, as soon.

// gaugeEvacuated counts the zones that are evacuated.
const gaugeEvacuated = "zones_evacuated"

// takeEvacuations takes the rows of evacuations. Where isWhole, zones without a row are not
// evacuated any more.
func (d *Daemon) takeEvacuations(rows []rowstore.Row, isWhole bool) {
	known := d.view.Load().Evacuated
	next := known
	present := map[string]bool{}
	for _, row := range rows {
		zone, isEvacuation := platform.EvacuatedZone(row.Key)
		switch {
		case !isEvacuation:
		case row.Deleted:
			next = next.Without(zone)
		default:
			present[zone] = true
			next = next.With(zone, evacuation.Evacuation{
				LeaveAt: d.leaveAt(),
				Version: row.Version,
			})
		}
	}
	if isWhole {
		for _, zone := range known.Names() {
			if !present[zone] {
				next = next.Without(zone)
			}
		}
	}
	if known.IsEmpty() && next.IsEmpty() {
		return
	}
	d.takeBackZones(known, next)
	d.change(func(view *gateway.View) {
		view.Evacuated = next
	})
	d.logEvacuations(known, next)
}

// leaveAt returns from when on a zone gets no request that was not evacuated when the
// configuration's table was last known.
func (d *Daemon) leaveAt() time.Time {
	bound := evacuation.Bound{
		Within: d.settings.EvacuateWithin,
		Draw:   rand.Float64(),
	}
	age, isKnown := d.fresh.Age()
	if !isKnown {
		return bound.LeaveAt(time.Time{})
	}
	return bound.LeaveAt(d.awake.Now().Add(-age))
}

// takeBackZones prepares for zones that are not evacuated any more: their servers may have
// turned cold meanwhile, and their entries may tell so a moment later.
func (d *Daemon) takeBackZones(known, next evacuation.Zones) {
	for _, zone := range known.Names() {
		if !next.Has(zone) {
			d.assumeCold(zone)
		}
	}
}

// logEvacuations writes a line for each zone that is evacuated or taken back.
func (d *Daemon) logEvacuations(known, next evacuation.Zones) {
	metrics.GetOrRegisterGauge(gaugeEvacuated, d.registry).Update(int64(len(next.Names())))
	for _, zone := range next.Names() {
		if known.Has(zone) {
			continue
		}
		one, _ := next.Of(zone)
		d.log.Info("zones: evacuated",
			zap.String("zone", zone),
			zap.Int64("row_version", one.Version),
			zap.Int64("left_in_ms", max(0, d.awake.Until(one.LeaveAt).Milliseconds())),
			zap.Int64("config_age_ms", d.Age().Milliseconds()))
	}
	for _, zone := range known.Names() {
		if !next.Has(zone) {
			one, _ := known.Of(zone)
			d.log.Info("zones: taken back", zap.String("zone", zone), zap.Int64("row_version", one.Version))
		}
	}
}

// keepEvacuations returns a table of a restored store with the evacuations that it lacks: they
// hold until operators have had the time to write them again.
func (d *Daemon) keepEvacuations(read rowstore.Result) rowstore.Result {
	if read.Era <= d.configEra.Load() {
		return read
	}
	isThere := map[string]bool{}
	for _, row := range read.Rows {
		isThere[row.Key] = true
	}
	for _, row := range d.evacuationRows() {
		if !isThere[row.Key] {
			row.Version = read.Version
			read.Rows = append(read.Rows, row)
		}
	}
	return read
}

// evacuationRows returns the rows of the evacuations that are known.
func (d *Daemon) evacuationRows() []rowstore.Row {
	var rows []rowstore.Row
	for _, zone := range d.view.Load().Evacuated.Names() {
		rows = append(rows, rowstore.Row{
			Table: platform.ConfigTable,
			Key:   platform.EvacuationKey(zone),
			Value: []byte("{}"),
		})
	}
	return rows
}
