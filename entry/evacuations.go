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

// An operator evacuates a zone by a row in the table of the configuration. Daemons watch both
// together, so an evacuation reaches them through the same relays and equally fast.

// evacuatedZonesGauge is the number of evacuated zones.
const evacuatedZonesGauge = "zones_evacuated"

// applyEvacuations applies evacuation rows. If isSnapshot is set, zones without a row are no
// longer evacuated.
func (d *Daemon) applyEvacuations(rows []rowstore.Row, isSnapshot bool) {
	former := d.view.Load().Evacuated
	next := former
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
				LeaveAt: d.evacuationDeadline(),
				Version: row.Version,
			})
		}
	}
	if isSnapshot {
		for _, zone := range former.Names() {
			if !present[zone] {
				next = next.Without(zone)
			}
		}
	}
	if former.IsEmpty() && next.IsEmpty() {
		return
	}
	d.prepareReopenedZones(former, next)
	d.updateView(func(view *gateway.View) {
		view.Evacuated = next
	})
	d.logEvacuations(former, next)
}

// evacuationDeadline returns the time from which a newly evacuated zone gets no requests. It
// counts from the last time the configuration's table was known to be current; without such a
// time, the zone gets no requests from now on.
func (d *Daemon) evacuationDeadline() time.Time {
	schedule := evacuation.LeaveSchedule{
		Bound:    d.settings.EvacuationBound,
		Position: rand.Float64(),
	}
	age, isKnown := d.configFreshness.ViewAge()
	if !isKnown {
		return schedule.LeaveAt(time.Time{})
	}
	return schedule.LeaveAt(d.bootClock.Now().Add(-age))
}

// prepareReopenedZones assumes that servers of zones that are no longer evacuated are cold.
// They may have become cold in the meantime, and their entries may only show it a moment later.
func (d *Daemon) prepareReopenedZones(former, next evacuation.Zones) {
	for _, zone := range former.Names() {
		if !next.Contains(zone) {
			d.assumeZoneCold(zone)
		}
	}
}

// logEvacuations logs each zone that is newly evacuated or reopened, and sets the gauge.
func (d *Daemon) logEvacuations(former, next evacuation.Zones) {
	metrics.GetOrRegisterGauge(evacuatedZonesGauge, d.registry).Update(int64(len(next.Names())))
	for _, zone := range next.Names() {
		if former.Contains(zone) {
			continue
		}
		zoneEvacuation, _ := next.Get(zone)
		d.log.Info("zones: evacuated",
			zap.String("zone", zone),
			zap.Int64("row_version", zoneEvacuation.Version),
			zap.Int64("left_in_ms", max(0, d.bootClock.Until(zoneEvacuation.LeaveAt).Milliseconds())),
			zap.Int64("config_age_ms", d.MaxViewAge().Milliseconds()))
	}
	for _, zone := range former.Names() {
		if !next.Contains(zone) {
			zoneEvacuation, _ := former.Get(zone)
			d.log.Info("zones: taken back", zap.String("zone", zone), zap.Int64("row_version", zoneEvacuation.Version))
		}
	}
}

// retainEvacuations adds the known evacuations to a table of a restored store that lacks them.
// They apply until operators have had time to write them again.
func (d *Daemon) retainEvacuations(table rowstore.Result) rowstore.Result {
	if table.Era <= d.configEra.Load() {
		return table
	}
	isPresent := map[string]bool{}
	for _, row := range table.Rows {
		isPresent[row.Key] = true
	}
	for _, row := range d.evacuationRows() {
		if !isPresent[row.Key] {
			row.Version = table.Version
			table.Rows = append(table.Rows, row)
		}
	}
	return table
}

// evacuationRows returns the rows of the known evacuations.
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
