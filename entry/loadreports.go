package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"headcourse/core/demand"
	"headcourse/core/neighbours"
	"headcourse/io/relay"
)

const (
	// loadReportTimeout bounds one report of this daemon's load to another daemon.
	loadReportTimeout = 400 * time.Millisecond
	// loadReportPeers is how many daemons a report is tried at in one interval.
	loadReportPeers = 3
)

// runLoadReports reports this daemon's load to its relay, and receives the totals of all daemons, until
// ctx ends. The reports of daemons that started together are spread over the interval.
func (d *Daemon) runLoadReports(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(demand.ReportInterval)):
	}
	ticker := time.NewTicker(demand.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.reportLoad(ctx)
			d.updatePaces()
			d.updateOverload()
		}
	}
}

// reportLoad reports this daemon's load once, to the first daemon that answers.
func (d *Daemon) reportLoad(ctx context.Context) {
	for _, client := range d.loadReportClients() {
		callCtx, cancel := context.WithTimeout(ctx, loadReportTimeout)
		isDue, err := client.ReportLoad(callCtx)
		cancel()
		if isDue && err == nil {
			return
		}
	}
}

// loadReportClients returns the clients of the daemons to which this one reports, in order.
func (d *Daemon) loadReportClients() []*relay.Client {
	directory := &d.directory
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.initClients()
	peers := append([]neighbours.Daemon(nil), directory.list.RelaysFor(d.settings.Name, d.settings.Zone)...)
	peers = append(peers, directory.list.StandbysFor(d.settings.Name, d.settings.Zone)...)
	var clients []*relay.Client
	for _, peer := range peers[:min(loadReportPeers, len(peers))] {
		client := directory.relayClients[peer.Address]
		if client == nil {
			client = d.newRelayClient(peer.Name, peer.Address)
			directory.relayClients[peer.Address] = client
		}
		clients = append(clients, client)
	}
	return clients
}
