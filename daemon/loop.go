package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"headcourse/core/catalog"
	"headcourse/core/contact"
	"headcourse/core/control"
	"headcourse/core/idempotency"
	"headcourse/core/lease"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/io/peer"
)

// Times of the daemon's rounds. Each wait is jittered by a quarter, so that
// daemons started together drift apart.
const (
	pollEvery   = 2500 * time.Millisecond
	vmListEvery = 2 * time.Second
	probeEvery  = 600 * time.Millisecond
	pullEvery   = 750 * time.Millisecond
	sweepEvery  = 30 * time.Second
	// commitTimeout bounds a commit, settling included.
	commitTimeout = 6 * time.Second
)

// Bounds of the daemon's rounds.
const (
	// scanLimit is how many rows one read of the store returns.
	scanLimit = 2000
	// pullLimit is how many rows one pull returns.
	pullLimit = 2000
	// probeFreeEvery is how many rounds pass between probes of a free VM.
	probeFreeEvery = 5
	// parallelProbes is how many probes are under way at once.
	parallelProbes = 64
)

// run starts the control goroutine and the rounds around it.
func (d *Daemon) run() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.tasks.Go(func() {
		d.control(ctx)
	})
	d.tasks.Go(func() {
		d.pollStore(ctx)
	})
	d.tasks.Go(func() {
		every(ctx, vmListEvery, d.pollVMs)
	})
	d.tasks.Go(func() {
		every(ctx, sweepEvery, d.sweep)
	})
	d.tasks.Go(func() {
		every(ctx, probeEvery, d.probeAll)
	})
	d.tasks.Go(func() {
		every(ctx, pullEvery, newPuller(d).round)
	})
}

// jittered returns d, shortened or lengthened by up to a quarter.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// every runs a round at once and then again and again until ctx ends.
func every(ctx context.Context, period time.Duration, round func(ctx context.Context)) {
	for ctx.Err() == nil {
		began := time.Now()
		round(ctx)
		rest := jittered(period) - time.Since(began)
		if rest <= 0 {
			continue
		}
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
}

// stepGap is the least time between two steps. News is taken in at once, but
// what follows from it is worked out once for all that came within the gap.
const stepGap = 50 * time.Millisecond

// control owns the controller: it takes in news, steps, carries out what the
// step asks for, and publishes a snapshot.
func (d *Daemon) control(ctx context.Context) {
	controller := control.New(d.self)
	timer := time.NewTimer(0)
	defer timer.Stop()
	stepped := time.Time{}
	isDue := false
	for {
		select {
		case news := <-d.inbox:
			news(controller)
			d.takeWaiting(controller)
			if !isDue {
				isDue = true
				timer.Reset(max(0, stepGap-time.Since(stepped)))
			}
		case <-timer.C:
			d.act(ctx, controller.Step())
			d.publish(controller)
			stepped, isDue = time.Now(), false
			timer.Reset(stepEvery)
		case <-ctx.Done():
			return
		}
	}
}

// takeWaiting takes in the news that is waiting already, so that a burst costs
// one step.
func (d *Daemon) takeWaiting(controller *control.Controller) {
	for range inboxSize {
		select {
		case news := <-d.inbox:
			news(controller)
		default:
			return
		}
	}
}

// publish makes a new snapshot and tells those who wait for one.
func (d *Daemon) publish(controller *control.Controller) {
	snapshot := controller.Snapshot()
	d.snapshot.Store(&snapshot)
	targets := controller.Targets()
	d.targets.Store(&targets)
	sources := controller.Roster().Sources(d.self)
	d.sources.Store(&sources)
	for _, changed := range d.onChange {
		changed()
	}
}

// act carries out what a step asks for, without waiting for the outcomes.
func (d *Daemon) act(ctx context.Context, actions control.Actions) {
	if actions.Refresh {
		select {
		case d.refresh <- struct{}{}:
		default:
		}
	}
	for _, commit := range actions.Commits {
		d.tasks.Go(func() {
			d.commit(ctx, commit)
		})
	}
	for _, send := range actions.Sends {
		d.tasks.Go(func() {
			d.send(send)
		})
	}
}

// commit commits a transaction and tells the controller what became of it.
func (d *Daemon) commit(ctx context.Context, commit control.Commit) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := d.store.Commit(bounded, commit.Transaction)
	if err != nil {
		d.log.Debug("control: commit failed", zap.String("about", commit.About), zap.Error(err))
	}
	d.tell(ctx, func(c *control.Controller) {
		c.Committed(commit, version, err)
	})
}

// send sends an order if the lease that it was decided under still holds long
// enough for the order to arrive.
func (d *Daemon) send(send control.Send) {
	if err := send.Lease.Check(lease.OrderMargin); err != nil {
		d.log.Warn("control: order not sent", zap.String("vm", send.VM), zap.Error(err))
		return
	}
	if err := d.engines.Order(send.Address, send.Order); err != nil {
		d.log.Warn("control: order failed", zap.String("vm", send.VM), zap.Error(err))
	}
}

// ----------------------------------------------------------------------------
// The platform

// pollStore reads what changed in the table, slowly, and at once when control
// asks for it or more is waiting.
func (d *Daemon) pollStore(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		began := time.Now()
		result, err := d.store.Scan(ctx, table.ScanRequest{
			Prefix: catalog.Prefix,
			After:  after,
			Limit:  scanLimit,
		})
		if err != nil {
			d.log.Warn("store: poll failed", zap.Error(err))
		} else {
			after = result.Version
			d.tell(ctx, func(c *control.Controller) {
				if result.More {
					c.LearnRows(result.Rows)
					return
				}
				c.LearnStore(result.Rows, result.Version, began)
			})
		}
		if err == nil && result.More {
			continue
		}
		select {
		case <-time.After(jittered(pollEvery)):
		case <-d.refresh:
			// A short wait lets what was refused become visible, and bounds
			// how often conflicts can cause reads.
			time.Sleep(jittered(stepEvery))
		case <-ctx.Done():
		}
	}
}

// pollVMs reads the VM list.
func (d *Daemon) pollVMs(ctx context.Context) {
	listed, err := d.vms.VMs()
	if err != nil {
		d.log.Warn("vm list: poll failed", zap.Error(err))
		return
	}
	d.tell(ctx, func(c *control.Controller) {
		c.LearnVMs(listed)
	})
}

// sweep deletes rows that have been kept long enough, at the one daemon that
// holds the first shard.
func (d *Daemon) sweep(ctx context.Context) {
	isMine := false
	d.ask(func(c *control.Controller) {
		isMine = slices.ContainsFunc(c.Usable(), func(held lease.Held) bool {
			return held.Shard == 0
		})
	})
	if !isMine {
		return
	}
	for prefix, isOld := range map[string]func(table.Row) bool{
		table.MarkerPrefix:    table.IsOldMarker,
		idempotency.KeyPrefix: idempotency.IsExpired,
	} {
		if count, err := table.Sweep(ctx, d.store, prefix, isOld); err != nil {
			d.log.Warn("store: sweep failed", zap.Error(err))
		} else if count > 0 {
			d.log.Debug("store: swept", zap.String("prefix", prefix), zap.Int("rows", count))
		}
	}
}

// ----------------------------------------------------------------------------
// Backend servers

// probeAll probes all targets once.
func (d *Daemon) probeAll(ctx context.Context) {
	probes := pool.New().WithMaxGoroutines(parallelProbes)
	d.probeRound++
	for _, target := range *d.targets.Load() {
		if target.IsFree && d.probeRound%probeFreeEvery != 0 {
			continue
		}
		probes.Go(func() {
			d.probe(ctx, target.VM)
		})
	}
	probes.Wait()
}

// probe probes one backend server.
func (d *Daemon) probe(ctx context.Context, target vm.VM) {
	began := time.Now()
	state, isRefused, err := d.engines.Probe(target.Address)
	d.tell(ctx, func(c *control.Controller) {
		if err != nil {
			c.LearnSilence(target.ID, began, isRefused)
			return
		}
		c.LearnProbe(target.ID, began, state)
	})
}

// ----------------------------------------------------------------------------
// Other daemons

// puller remembers how far each daemon's log was read.
type puller struct {
	daemon    *Daemon
	positions map[string]peer.PullRequest
	// turn counts rounds.
	turn int
}

// newPuller returns a puller that has read nothing.
func newPuller(d *Daemon) *puller {
	return &puller{
		daemon:    d,
		positions: map[string]peer.PullRequest{},
	}
}

// pulled is one daemon's reply.
type pulled struct {
	address string
	answer  peer.Answer
	err     error
}

// round pulls from all sources once, side by side.
func (p *puller) round(ctx context.Context) {
	results := pool.NewWithResults[pulled]()
	addresses, isFull := p.addresses()
	for _, address := range addresses {
		request := p.positions[address]
		request.Full = isFull[address]
		results.Go(func() pulled {
			answer, err := p.daemon.peers.Pull(ctx, address, request)
			return pulled{
				address: address,
				answer:  answer,
				err:     err,
			}
		})
	}
	for _, result := range results.Wait() {
		p.take(ctx, result)
	}
}

// addresses returns whom to ask: the sources, or the seeds while none is known;
// and whom to ask for all they have heard. In a small roster, where everyone
// asks everyone, that is one of them in turn, against links that are cut.
func (p *puller) addresses() (addresses []string, isFull map[string]bool) {
	isFull = map[string]bool{}
	sources := *p.daemon.sources.Load()
	for _, source := range sources {
		addresses = append(addresses, source.Daemon.Peer)
		isFull[source.Daemon.Peer] = source.Full
	}
	if len(addresses) == 0 {
		addresses = p.daemon.settings.Seeds
	}
	if len(addresses) > 0 {
		p.turn++
		isFull[addresses[p.turn%len(addresses)]] = true
	}
	return addresses, isFull
}

// take hands a reply to control. Reports count only with a reply that holds
// all rows of the daemon that was asked.
func (p *puller) take(ctx context.Context, result pulled) {
	if result.err != nil {
		p.daemon.log.Debug("peer: pull failed", zap.Error(result.err))
		return
	}
	p.positions[result.address] = peer.PullRequest{
		Incarnation: result.answer.Incarnation,
		Position:    result.answer.Position,
	}
	p.daemon.tell(ctx, func(c *control.Controller) {
		c.LearnRows(result.answer.Rows)
		if !result.answer.More {
			c.LearnReports(result.answer.Reports, result.answer.Evidence)
		}
	})
}

// AnswerPull answers another daemon's pull.
func (d *Daemon) AnswerPull(_ context.Context, request peer.PullRequest) (peer.Answer, error) {
	answer := peer.Answer{
		Incarnation: d.self.ID,
	}
	if request.Incarnation != d.self.ID {
		request.Position = 0
	}
	isAnswered := d.ask(func(c *control.Controller) {
		answer.Rows, answer.Position, answer.More = c.Changes(request.Position, pullLimit)
		answer.Reports = []contact.Report{c.OwnReport()}
		answer.Evidence = c.OwnEvidence()
		if request.Full {
			answer.Reports = append(answer.Reports, c.Contact().Reports()...)
			answer.Evidence = c.AllEvidence()
		}
	})
	if !isAnswered {
		return answer, ErrStopped
	}
	return answer, nil
}

// Roster returns the daemons as control sees them.
func (d *Daemon) Roster() roster.Roster {
	var listed roster.Roster
	d.ask(func(c *control.Controller) {
		listed = c.Roster()
	})
	return listed
}
