package demo

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/plan"
	"headcourse/daemon"
	"headcourse/lab/examples"
	"headcourse/lab/fault"
	"headcourse/lab/load"
)

// filesOf returns the files of a deployment's declaration.
func filesOf(deployment examples.Deployment) []declaration.File {
	return []declaration.File{deployment.File}
}

// perform sends the load while things fail, then writes the account.
func (s *stage) perform(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := make([]string, len(s.nodes))
	for i, node := range s.nodes {
		addresses[i] = node.Callers()
	}
	balancer := load.NewBalancer(ctx, addresses)
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(ctx, s.loadSettings(), balancer)
	}()
	measured := s.measure(ctx)
	s.say("load: %.0f requests/s for %s", s.settings.Rate, s.settings.Duration)
	if err := s.disturb(); err != nil {
		return err
	}
	report := <-reports
	cancel()
	return s.account(report, <-measured)
}

// pause between two disturbances.
const calm = 3 * time.Second

// disturb brings about the failures and the operator's work, one after the
// other.
func (s *stage) disturb() error {
	time.Sleep(calm)
	if err := s.killMember(); err != nil {
		return err
	}
	time.Sleep(calm)
	zone := s.deployment.Declaration.Zones[len(s.deployment.Declaration.Zones)-1]
	if err := s.carryOut(plan.Intent{
		Kind: plan.DrainZone,
		Zone: zone.Name,
	}); err != nil {
		return err
	}
	time.Sleep(calm)
	s.killDaemon()
	time.Sleep(calm)
	s.replaceDaemon()
	s.storeOutage()
	return s.awaitWhole(s.declaredGroups(), 60*time.Second)
}

// killMember kills one VM of a serving group and waits for the repair.
func (s *stage) killMember() error {
	snapshot := s.nodes[0].Daemon().Snapshot()
	names := make([]string, 0, len(snapshot.Groups))
	byName := map[string]group.Record{}
	for _, record := range snapshot.Groups {
		names = append(names, record.Name)
		byName[record.Name] = record
	}
	sort.Strings(names)
	victim := byName[names[0]]
	member := victim.Members[len(victim.Members)-1]
	s.say("kill: VM %s, member of %s", member.VM, victim.Name)
	s.platform.Engines[member.VM].Kill()
	killed := time.Now()
	time.Sleep(2 * time.Second)
	if err := s.awaitWhole(s.declaredGroups(), 60*time.Second); err != nil {
		return err
	}
	s.say("repaired %.1f s after the loss", time.Since(killed).Seconds())
	s.say("back: VM %s, empty", member.VM)
	return s.platform.Engines[member.VM].Revive()
}

// killDaemon kills one daemon.
func (s *stage) killDaemon() {
	victim := s.nodes[len(s.nodes)-1]
	s.say("kill: daemon %s", victim.Daemon().ID())
	victim.Kill()
	s.nodes = s.nodes[:len(s.nodes)-1]
}

// replaceDaemon stops one daemon as planned.
func (s *stage) replaceDaemon() {
	last := len(s.nodes) - 1
	leaving := s.nodes[last]
	s.nodes = s.nodes[:last]
	s.say("stop: daemon %s, as planned", leaving.Daemon().ID())
	if err := leaving.Stop(); err != nil {
		s.say("    %s", err)
	}
	zone := s.deployment.Declaration.Zones[0].Name
	node, err := daemon.StartNode(s.nodeSettings(last+10, zone), s.settings.Log)
	if err != nil {
		s.say("    replacement failed: %s", err)
		return
	}
	s.nodes = append(s.nodes, node)
	s.say("    replaced by %s", node.Daemon().ID())
}

// outage is how long the table service is down; it is longer than a lease and
// than the time after which a daemon that hears nobody stops.
const outage = 14 * time.Second

// storeOutage takes the table service down for a while.
func (s *stage) storeOutage() {
	s.say("table service down for %s", outage)
	s.platform.TableFaults.Set(fault.Faults{
		Dark: true,
	})
	time.Sleep(outage)
	s.platform.TableFaults.Set(fault.Faults{})
	_, whole := s.whole()
	s.say("table service back; %d groups served meanwhile", whole)
}

// ----------------------------------------------------------------------------
// The account

// measures are the two measures of the brief, summed over the load.
type measures struct {
	downtime float64
	stranded float64
	seconds  float64
}

// sampleEvery is the time between two samples of the measures.
const sampleEvery = 200 * time.Millisecond

// measure samples the measures until ctx ends: groups that are declared but
// may not be given requests, and accelerators in no such group.
func (s *stage) measure(ctx context.Context) <-chan measures {
	sums := make(chan measures, 1)
	observer := s.nodes[0].Daemon()
	accelerators := 0
	for _, listed := range s.platform.VMs {
		accelerators += listed.Accelerators
	}
	go func() {
		var sum measures
		last := time.Now()
		for ctx.Err() == nil {
			time.Sleep(sampleEvery)
			now := time.Now()
			passed := now.Sub(last).Seconds()
			last = now
			serving, used := 0, 0
			for _, model := range s.deployment.Declaration.Models {
				for _, record := range observer.Snapshot().Serveable(model.Name, now) {
					serving++
					used += record.Accelerators()
				}
			}
			sum.downtime += passed * float64(max(0, s.declaredGroups()-serving))
			sum.stranded += passed * float64(accelerators-used)
			sum.seconds += passed
		}
		sums <- sum
	}()
	return sums
}

// account checks what callers were told against the ledgers of the backend
// servers, and writes the sums.
func (s *stage) account(report *load.Report, sum measures) error {
	runs, charges := s.platform.RunsOf(), s.platform.ServiceRuns()
	lied, doubled, lost := 0, 0, 0
	for _, one := range report.Outcomes {
		ran := runs[one.RequestID] + charges[one.Charge]
		if one.Verdict == load.NotRun && ran > 0 {
			lied++
		}
		if one.Charge != "" && charges[one.Charge] > 1 {
			doubled++
		}
		if one.Charge != "" && one.Verdict == load.Whole && charges[one.Charge] == 0 {
			lost++
		}
	}
	s.say("account of %s over %.0f s:", s.deployment.Declaration.Deployment, sum.seconds)
	s.say("    requests %d: whole %d, not run %d, unknown %d, broken %d, unreached %d", len(report.Outcomes), report.Count(load.Whole), report.Count(load.NotRun), report.Count(load.Unknown), report.Count(load.Broken), report.Count(load.Unreached))
	for _, reason := range report.Reasons() {
		s.say("        %-40s %4d  from %.1f s to %.1f s of the load", reason.Name, reason.Count, reason.First.Seconds(), reason.Last.Seconds())
	}
	s.say("    promises: lost %d, doubled %d, foreign %d, cut %d, told not run but ran %d", lost, doubled, report.Count(load.Foreign), report.Count(load.Cut), lied)
	s.say("    group downtime %.1f group seconds; stranded %.1f accelerators on average", sum.downtime, sum.stranded/sum.seconds)
	s.say("    first token %d / %d / %d ms at 50 / 95 / 99%%; between tokens %d ms at 95%%", report.First.ValueAtQuantile(50)/1000, report.First.ValueAtQuantile(95)/1000, report.First.ValueAtQuantile(99)/1000, report.Gap.ValueAtQuantile(95)/1000)
	if lied+doubled+lost+report.Count(load.Foreign)+report.Count(load.Cut) > 0 {
		return errors.Wrap(ErrBroken, s.deployment.Declaration.Deployment)
	}
	return nil
}
