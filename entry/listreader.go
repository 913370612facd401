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

const (
	// sampleRows is how many rows of the list a starting daemon reads first.
	sampleRows = 128
	// maxSeedRelays is how many daemons of the sample are used as relays.
	maxSeedRelays = 4
)

// listReader returns the reader of the daemon list.
func (d *Daemon) listReader() rowstore.Reader {
	return rowstore.SeededReader{
		ReaderChain: d.tableReader,
		Sampler:     d.store,
		SampleRows:  sampleRows,
		Seeds:       d.seedRelays,
	}
}

// seedRelays returns the daemons to read the list from, selected from a sample of it. It
// returns none if this daemon is itself one that others read the list from.
func (d *Daemon) seedRelays(sample []rowstore.Row) []rowstore.Relay {
	seeds := d.seedDaemons(sample)
	isSeed := slices.ContainsFunc(seeds, func(daemon neighbours.Daemon) bool {
		return daemon.Name == d.settings.Name
	})
	if isSeed {
		return nil
	}
	nearest := neighbours.InCallOrder(seeds, d.settings.Name, d.settings.Zone)
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	d.directory.initClients()
	return d.relayReaders(nearest[:min(maxSeedRelays, len(nearest))])
}

// seedDaemons returns the daemons that have the whole list: the published relays, or else the
// daemons of the sample.
func (d *Daemon) seedDaemons(sample []rowstore.Row) []neighbours.Daemon {
	var seeds []neighbours.Daemon
	for _, row := range sample {
		if row.Key == neighbours.RelaysKey {
			relays, err := neighbours.DecodeRelays(row.Value)
			if err == nil && len(relays) > 0 {
				return relays
			}
			d.recordRejectedRow(neighbours.Table, row, err)
			continue
		}
		if daemon, err := neighbours.Decode(row.Key, row.Value); err == nil {
			seeds = append(seeds, daemon)
		}
	}
	return seeds
}

// publishRelays writes the relays into the list for starting daemons if they have changed and
// the list is too long for the sample to cover it. Only the leader does this.
func (d *Daemon) publishRelays(ctx context.Context) {
	encoded, isDue := d.relaysToPublish()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := d.rowWriter.Write(ctx, rowstore.Row{
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

// relaysToPublish returns the value of the relays' row, and whether it must be written.
func (d *Daemon) relaysToPublish() (encoded []byte, isDue bool) {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	if d.directory.list.Len() < sampleRows {
		return nil, false
	}
	encoded, err := neighbours.EncodeRelays(d.directory.list.Relays())
	if err != nil {
		d.log.Error("daemons: relays not encoded", logline.ErrorField(err))
		return nil, false
	}
	return encoded, !bytes.Equal(encoded, d.directory.publishedRelays)
}
