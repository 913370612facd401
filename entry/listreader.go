package entry

import (
	"bytes"
	"context"
	"slices"

	"go.uber.org/zap"

	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// Figures of reading the list.
const (
	// sampleRows is how many rows of the list a daemon that starts reads first.
	sampleRows = 128
	// sampledRelays is how many daemons of the sample are asked.
	sampledRelays = 4
)

// listReader reads and follows the list of the daemons.
func (d *Daemon) listReader() rowstore.Reader {
	return rowstore.Seeded{
		Chain: d.chain,
		From:  d.store,
		Rows:  sampleRows,
		Seeds: d.seedRelays,
	}
}

// seedRelays returns the daemons to ask for the list by a sample of it; none where others will
// ask this one.
func (d *Daemon) seedRelays(sample []rowstore.Row) []rowstore.Relay {
	seeds := d.seeds(sample)
	isSeed := slices.ContainsFunc(seeds, func(one neighbours.Daemon) bool {
		return one.Name == d.settings.Name
	})
	if isSeed {
		return nil
	}
	nearest := neighbours.Nearest(seeds, d.settings.Name, d.settings.Zone)
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	d.roster.prepare()
	return d.asRelays(nearest[:min(sampledRelays, len(nearest))])
}

// seeds returns the daemons that have the list: the relays where they are published, else those
// of the sample.
func (d *Daemon) seeds(sample []rowstore.Row) []neighbours.Daemon {
	var seeds []neighbours.Daemon
	for _, row := range sample {
		if row.Key == neighbours.RelaysKey {
			relays, err := neighbours.DecodeRelays(row.Value)
			if err == nil && len(relays) > 0 {
				return relays
			}
			d.recordBadRow(neighbours.Table, row, err)
			continue
		}
		if daemon, err := neighbours.Decode(row.Key, row.Value); err == nil {
			seeds = append(seeds, daemon)
		}
	}
	return seeds
}

// publishRelays writes the relays into the list for daemons that start, where it has others and
// is too long to be read whole by the sample. Only the leader does.
func (d *Daemon) publishRelays(ctx context.Context) {
	encoded, isDue := d.relaysToPublish()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportCallTime)
	defer cancel()
	err := d.rows.Write(ctx, rowstore.Row{
		Table: neighbours.Table,
		Key:   neighbours.RelaysKey,
		Value: encoded,
	})
	if err != nil {
		d.recordStoreError(neighbours.Table)(err)
		return
	}
	d.log.Info("daemons: relays published", zap.Int("bytes", len(encoded)))
}

// relaysToPublish returns the row's value, and whether it is to be written.
func (d *Daemon) relaysToPublish() (encoded []byte, isDue bool) {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	if d.roster.list.Len() < sampleRows {
		return nil, false
	}
	encoded, err := neighbours.EncodeRelays(d.roster.list.Relays())
	if err != nil {
		d.log.Error("daemons: relays not published", logline.Err(err))
		return nil, false
	}
	return encoded, !bytes.Equal(encoded, d.roster.published)
}
