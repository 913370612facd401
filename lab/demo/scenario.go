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

// declarationFiles returns the files of a deployment's declaration.
func declarationFiles(deployment examples.Deployment) []declaration.File {
	return []declaration.File{deployment.File}
}

// runScenario injects failures while the load runs, then prints the report.
func (s *session) runScenario(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := make([]string, len(s.nodes))
	for i, node := range s.nodes {
		addresses[i] = node.CallersAddress()
	}
	balancer := load.NewBalancer(ctx, addresses)
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(ctx, s.loadSettings(), balancer)
	}()
	sums := s.sampleMeasures(ctx)
	s.printf("load: %.0f requests/s for %s", s.settings.Rate, s.settings.Duration)
	if err := s.injectFaults(); err != nil {
		return err
	}
	report := <-reports
	cancel()
	return s.reportOutcomes(report, <-sums)
}

// faultInterval is the pause between two injected failures.
const faultInterval = 3 * time.Second

// injectFaults injects the failures and runs the operator's plans, one after the other.
func (s *session) injectFaults() error {
	time.Sleep(faultInterval)
	if err := s.killMember(); err != nil {
		return err
	}
	time.Sleep(faultInterval)
	zone := s.deployment.Declaration.Zones[len(s.deployment.Declaration.Zones)-1]
	if err := s.executePlan(plan.Intent{
		Kind: plan.DrainZone,
		Zone: zone.Name,
	}); err != nil {
		return err
	}
	time.Sleep(faultInterval)
	s.killDaemon()
	time.Sleep(faultInterval)
	s.replaceDaemon()
	s.interruptStore()
	return s.waitForServing(s.declaredGroupCount(), 60*time.Second)
}

// killMember kills a member of the first group by name, waits until all declared groups serve,
// and restarts the VM without its state.
func (s *session) killMember() error {
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
	s.printf("kill: VM %s, member of %s", member.VM, victim.Name)
	s.platform.Engines[member.VM].Kill()
	killedAt := time.Now()
	time.Sleep(2 * time.Second)
	if err := s.waitForServing(s.declaredGroupCount(), 60*time.Second); err != nil {
		return err
	}
	s.printf("repaired %.1f s after the loss", time.Since(killedAt).Seconds())
	s.printf("back: VM %s, empty", member.VM)
	return s.platform.Engines[member.VM].Restart()
}

// killDaemon kills one daemon without warning.
func (s *session) killDaemon() {
	victim := s.nodes[len(s.nodes)-1]
	s.printf("kill: daemon %s", victim.Daemon().ID())
	victim.Kill()
	s.nodes = s.nodes[:len(s.nodes)-1]
}

// replaceDaemon stops one daemon gracefully and starts another.
func (s *session) replaceDaemon() {
	last := len(s.nodes) - 1
	stopping := s.nodes[last]
	s.nodes = s.nodes[:last]
	s.printf("stop: daemon %s, as planned", stopping.Daemon().ID())
	if err := stopping.Stop(); err != nil {
		s.printf("    %s", err)
	}
	zone := s.deployment.Declaration.Zones[0].Name
	node, err := daemon.StartNode(s.nodeSettings(last+10, zone), s.settings.Log)
	if err != nil {
		s.printf("    replacement failed: %s", err)
		return
	}
	s.nodes = append(s.nodes, node)
	s.printf("    replaced by %s", node.Daemon().ID())
}

// outageDuration is how long the table service is down. It is longer than a lease and longer
// than the time after which a daemon without contact stops serving.
const outageDuration = 14 * time.Second

// interruptStore makes the table service unavailable for outageDuration.
func (s *session) interruptStore() {
	s.printf("table service down for %s", outageDuration)
	s.platform.TableFaults.Set(fault.Faults{
		DropRequests: true,
	})
	time.Sleep(outageDuration)
	s.platform.TableFaults.Set(fault.Faults{})
	_, serving := s.countServing()
	s.printf("table service back; %d groups serve", serving)
}

// ----------------------------------------------------------------------------
// Report

// measures holds group downtime and stranded accelerators, summed over the load.
type measures struct {
	groupDowntimeSeconds       float64
	strandedAcceleratorSeconds float64
	elapsedSeconds             float64
}

// sampleInterval is the time between two samples of the measures.
const sampleInterval = 200 * time.Millisecond

// sampleMeasures samples until ctx ends. It counts the declared groups that cannot receive
// requests, and the accelerators outside groups that can.
func (s *session) sampleMeasures(ctx context.Context) <-chan measures {
	sums := make(chan measures, 1)
	observer := s.nodes[0].Daemon()
	accelerators := 0
	for _, listed := range s.platform.VMs {
		accelerators += listed.Accelerators
	}
	go func() {
		var sum measures
		lastSampleAt := time.Now()
		for ctx.Err() == nil {
			time.Sleep(sampleInterval)
			now := time.Now()
			elapsed := now.Sub(lastSampleAt).Seconds()
			lastSampleAt = now
			serving, used := 0, 0
			for _, model := range s.deployment.Declaration.Models {
				for _, record := range observer.Snapshot().ServingGroups(model.Name, now) {
					serving++
					used += record.Accelerators()
				}
			}
			sum.groupDowntimeSeconds += elapsed * float64(max(0, s.declaredGroupCount()-serving))
			sum.strandedAcceleratorSeconds += elapsed * float64(accelerators-used)
			sum.elapsedSeconds += elapsed
		}
		sums <- sum
	}()
	return sums
}

// reportOutcomes compares the outcomes reported to callers with the ledgers of the backend
// servers and prints the totals. It returns ErrGuaranteeViolated if they violate a guarantee.
func (s *session) reportOutcomes(report *load.Report, totals measures) error {
	engineRuns, serviceRuns := s.platform.EngineRuns(), s.platform.ServiceRuns()
	falseNotRun, duplicated, lost := 0, 0, 0
	for _, outcome := range report.Outcomes {
		executions := engineRuns[outcome.RequestID] + serviceRuns[outcome.LedgerKey]
		if outcome.Verdict == load.NotRun && executions > 0 {
			falseNotRun++
		}
		if outcome.LedgerKey != "" && serviceRuns[outcome.LedgerKey] > 1 {
			duplicated++
		}
		if outcome.LedgerKey != "" && outcome.Verdict == load.Complete && serviceRuns[outcome.LedgerKey] == 0 {
			lost++
		}
	}
	s.printf("account of %s over %.0f s:", s.deployment.Declaration.Deployment, totals.elapsedSeconds)
	s.printf("    requests %d: whole %d, not run %d, unknown %d, broken %d, unreached %d", len(report.Outcomes), report.Count(load.Complete), report.Count(load.NotRun), report.Count(load.Unknown), report.Count(load.Disconnected), report.Count(load.Unreachable))
	for _, reason := range report.Reasons() {
		s.printf("        %-40s %4d  from %.1f s to %.1f s of the load", reason.Name, reason.Count, reason.EarliestStart.Seconds(), reason.LatestStart.Seconds())
	}
	s.printf("    guarantees: lost %d, duplicated %d, foreign %d, cut %d, reported as not run but ran %d", lost, duplicated, report.Count(load.Mismatched), report.Count(load.Truncated), falseNotRun)
	s.printf("    group downtime %.1f group seconds; stranded %.1f accelerators on average", totals.groupDowntimeSeconds, totals.strandedAcceleratorSeconds/totals.elapsedSeconds)
	s.printf("    first token %d / %d / %d ms at 50 / 95 / 99%%; between tokens %d ms at 95%%", report.FirstEvent.ValueAtQuantile(50)/1000, report.FirstEvent.ValueAtQuantile(95)/1000, report.FirstEvent.ValueAtQuantile(99)/1000, report.EventGap.ValueAtQuantile(95)/1000)
	if falseNotRun+duplicated+lost+report.Count(load.Mismatched)+report.Count(load.Truncated) > 0 {
		return errors.Wrap(ErrGuaranteeViolated, s.deployment.Declaration.Deployment)
	}
	return nil
}
