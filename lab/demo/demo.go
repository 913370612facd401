// Package demo runs an example deployment in one process. It starts stand-ins and daemons,
// sends callers' load, injects failures and drains a zone. It then compares the outcomes
// reported to callers with what the backend servers ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/plan"
	"headcourse/daemon"
	"headcourse/io/operator"
	"headcourse/lab/examples"
	"headcourse/lab/load"
	"headcourse/lab/platform"
)

// Settings configure a demo.
type Settings struct {
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Log      *zap.Logger
}

// ErrGuaranteeViolated is returned if an outcome reported to a caller violates a guarantee.
var ErrGuaranteeViolated = errors.New("outcomes reported to callers violate a guarantee")

// session is the demo of one deployment.
type session struct {
	settings   Settings
	out        io.Writer
	deployment examples.Deployment
	platform   *platform.Platform
	nodes      []*daemon.Node
	operator   *operator.Client
	startedAt  time.Time
}

// RunDemo runs the demo of a deployment and writes its report to out. It returns
// ErrGuaranteeViolated if a guarantee was violated.
func RunDemo(ctx context.Context, name string, settings Settings, out io.Writer) error {
	deployment, err := examples.Load(name)
	if err != nil {
		return err
	}
	s := &session{
		settings:   settings,
		out:        out,
		deployment: deployment,
		startedAt:  time.Now(),
	}
	defer s.stop()
	if err = s.start(); err != nil {
		return err
	}
	if err = s.applyDeclaration(); err != nil {
		return err
	}
	return s.runScenario(ctx)
}

// printf writes a line that begins with the time since the start of the demo.
func (s *session) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, "%6.1fs  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// Settings of the stand-ins.
const (
	vmListDelay     = time.Second
	slots           = 32
	loadTime        = 1500 * time.Millisecond
	firstTokenDelay = 60 * time.Millisecond
	tokenInterval   = 15 * time.Millisecond
	serviceTime     = 5 * time.Millisecond
	loadsPerSecond  = 20
	loadBurst       = 40
)

// start starts the stand-ins and the daemons.
func (s *session) start() error {
	started, err := platform.Start(platform.Settings{
		VMs:             s.deployment.VMs(),
		VMListDelay:     vmListDelay,
		Slots:           slots,
		LoadTime:        loadTime,
		FirstTokenDelay: firstTokenDelay,
		TokenInterval:   tokenInterval,
		ServiceTime:     serviceTime,
		LoadsPerSecond:  loadsPerSecond,
		LoadBurst:       loadBurst,
	})
	if err != nil {
		return err
	}
	s.platform = started
	zones := s.deployment.Declaration.Zones
	for index := range s.deployment.Daemons {
		node, startErr := daemon.StartNode(s.nodeSettings(index, zones[index%len(zones)].Name), s.settings.Log)
		if startErr != nil {
			return startErr
		}
		s.nodes = append(s.nodes, node)
	}
	s.operator = operator.NewClient(s.nodes[0].OperatorsAddress(), examples.Key(operatorName))
	s.printf("%s: %d VMs, %d daemons", s.deployment.Declaration.Deployment, len(s.platform.VMs), len(s.nodes))
	return nil
}

// operatorName is the operator whose key the demo uses.
const operatorName = "turno-noche"

// nodeSettings returns the settings of one daemon.
func (s *session) nodeSettings(index int, zone string) daemon.Settings {
	settings := daemon.Settings{
		ID:            fmt.Sprintf("entry-%d", index+1),
		Zone:          zone,
		Callers:       "127.0.0.1:0",
		Operators:     "127.0.0.1:0",
		Peers:         "127.0.0.1:0",
		Table:         s.platform.TableAddress(),
		VMList:        s.platform.VMListAddress(),
		PeerKey:       "demo-peer-key-0123456789",
		BootstrapHash: bootstrapHash(s.deployment),
		DrainTime:     time.Minute,
		UnreadyTime:   time.Second,
		IdleTime:      10 * time.Second,
	}
	if len(s.nodes) > 0 {
		settings.Seeds = []string{s.nodes[0].Daemon().PeerAddress()}
	}
	return settings
}

// bootstrapHash returns the key hash of the demo's operator.
func bootstrapHash(deployment examples.Deployment) string {
	for _, declared := range deployment.Declaration.Operators {
		if declared.Name == operatorName {
			return declared.KeyHashes[0]
		}
	}
	return ""
}

// stop kills all daemons and stops the stand-ins.
func (s *session) stop() {
	for _, node := range s.nodes {
		node.Kill()
	}
	if s.platform != nil {
		s.platform.Stop()
	}
}

// applyDeclaration applies the declaration and executes a plan that creates the declared
// groups.
func (s *session) applyDeclaration() error {
	applied, err := s.operator.Apply(operator.ApplyRequest{
		Files: declarationFiles(s.deployment),
	})
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	s.printf("applied: revision %d, accepted=%t, held by %d of %d daemons", applied.Revision, applied.Accepted, applied.Holders, applied.Daemons)
	if err = s.executePlan(plan.Intent{
		Kind: plan.Reconcile,
	}); err != nil {
		return err
	}
	return s.waitForServing(s.declaredGroupCount(), 30*time.Second)
}

// declaredGroupCount returns the number of declared groups.
func (s *session) declaredGroupCount() int {
	count := 0
	for _, model := range s.deployment.Declaration.Models {
		for _, replicas := range model.Replicas {
			count += replicas
		}
	}
	return count
}

// planTimeout limits the execution of one plan.
const planTimeout = 90 * time.Second

// executePlan proposes a plan for an intent, confirms it and waits until it is done.
func (s *session) executePlan(intent plan.Intent) error {
	proposed, err := s.operator.Propose(intent)
	if err != nil {
		return errors.Wrapf(err, "plan %s", intent)
	}
	s.printf("plan %s: %s", proposed.Plan.ID, intent)
	for _, step := range proposed.Plan.Steps {
		s.printf("    stage %d  %s", step.Stage, step)
	}
	s.printf("    predicted: %.0f s of group downtime, %.0f stranded accelerator seconds", proposed.DowntimeSeconds, proposed.StrandedSeconds)
	if _, err = s.operator.Confirm(proposed.Plan.ID); err != nil {
		return errors.Wrapf(err, "confirm plan %s", proposed.Plan.ID)
	}
	deadline := time.Now().Add(planTimeout)
	for time.Now().Before(deadline) {
		current, readErr := s.operator.Plan(proposed.Plan.ID)
		if readErr == nil && current.Plan.State.IsFinal() {
			s.printf("plan %s: %s %s", current.Plan.ID, current.Plan.State, current.Plan.Reason)
			if current.Plan.State != plan.Done {
				return errors.Errorf("plan %s: %s: %s", current.Plan.ID, current.Plan.State, current.Plan.Reason)
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.printGroups()
	return errors.Errorf("plan %s: not done after %s", proposed.Plan.ID, planTimeout)
}

// printGroups prints the groups and lease holders known to the operator's daemon.
func (s *session) printGroups() {
	groups, err := s.operator.Groups()
	if err != nil {
		s.printf("groups: %s", err)
		return
	}
	for _, status := range groups {
		s.printf("    %s %s generation %d, whole %t, evidence %.1f s old, plan %q", status.Record.Name, status.Record.Phase, status.Record.Generation, status.Serveable, status.EvidenceAgeSeconds, status.Record.Plan)
	}
	daemonStatus, err := s.operator.Status()
	if err != nil {
		s.printf("status: %s", err)
		return
	}
	for _, lease := range daemonStatus.Leases {
		s.printf("    shard %d: %s", lease.Shard, lease.Holder)
	}
}

// countServing returns the number of existing groups and the number of groups that can receive
// requests, according to the operator's daemon.
func (s *session) countServing() (groups, serving int) {
	snapshot := s.nodes[0].Daemon().Snapshot()
	for _, model := range s.deployment.Declaration.Models {
		serving += len(snapshot.ServingGroups(model.Name, time.Now()))
	}
	return len(snapshot.Groups), serving
}

// waitForServing waits until the wanted number of groups can receive requests.
func (s *session) waitForServing(wanted int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if _, serving := s.countServing(); serving >= wanted {
			s.printf("%d groups serve", serving)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	groups, serving := s.countServing()
	return errors.Errorf("only %d of %d groups serve (%d exist) after %s", serving, wanted, groups, timeout)
}

// loadSettings returns the settings of the callers' load.
func (s *session) loadSettings() load.Settings {
	declared := s.deployment.Declaration
	keys := make([]string, len(declared.Organisations))
	for i, organisation := range declared.Organisations {
		keys[i] = examples.Key(organisation.Name)
	}
	service := declared.Services[0]
	return load.Settings{
		Rate:               s.settings.Rate,
		Duration:           s.settings.Duration,
		Seed:               s.settings.Seed,
		Model:              declared.Models[0].Name,
		ServicePrefix:      service.Prefix,
		NonRepeatablePath:  service.NotRepeatable[0].Path,
		APIKeys:            keys,
		Tokens:             24,
		Deadline:           20 * time.Second,
		PlainReadShare:     0.2,
		NonRepeatableShare: 0.1,
	}
}
