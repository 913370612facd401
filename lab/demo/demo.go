// Package demo plays both deployments in one process: stand-ins, daemons,
// callers' load, failures and a drained zone, and checks what every caller was
// told against what the backend servers ran.
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

// Settings are the properties of a demo.
type Settings struct {
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Log      *zap.Logger
}

// ErrBroken reports that a promise was broken.
var ErrBroken = errors.New("the account shows broken promises")

// stage is one deployment being played.
type stage struct {
	settings   Settings
	out        io.Writer
	deployment examples.Deployment
	platform   *platform.Platform
	nodes      []*daemon.Node
	operator   *operator.Client
	began      time.Time
}

// Play plays a deployment and writes the account to out. It returns ErrBroken
// where a promise was broken.
func Play(ctx context.Context, name string, settings Settings, out io.Writer) error {
	deployment, err := examples.Load(name)
	if err != nil {
		return err
	}
	one := &stage{
		settings:   settings,
		out:        out,
		deployment: deployment,
		began:      time.Now(),
	}
	defer one.stop()
	if err = one.start(); err != nil {
		return err
	}
	if err = one.declare(); err != nil {
		return err
	}
	return one.perform(ctx)
}

// say writes a line with the time since the start.
func (s *stage) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, "%6.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Figures of the stand-ins in the demo.
const (
	listLag     = time.Second
	slots       = 32
	loadTime    = 1500 * time.Millisecond
	firstToken  = 60 * time.Millisecond
	eachToken   = 15 * time.Millisecond
	serviceTime = 5 * time.Millisecond
	loadRate    = 20
	loadBurst   = 40
)

// start starts the stand-ins and the daemons.
func (s *stage) start() error {
	running, err := platform.Start(platform.Settings{
		VMs:            s.deployment.VMs(),
		ListLag:        listLag,
		Slots:          slots,
		LoadTime:       loadTime,
		FirstToken:     firstToken,
		EachToken:      eachToken,
		ServiceTime:    serviceTime,
		LoadsPerSecond: loadRate,
		LoadBurst:      loadBurst,
	})
	if err != nil {
		return err
	}
	s.platform = running
	zones := s.deployment.Declaration.Zones
	for number := range s.deployment.Daemons {
		node, startErr := daemon.StartNode(s.nodeSettings(number, zones[number%len(zones)].Name), s.settings.Log)
		if startErr != nil {
			return startErr
		}
		s.nodes = append(s.nodes, node)
	}
	s.operator = operator.NewClient(s.nodes[0].Operators(), examples.Key(operatorName))
	s.say("%s: %d VMs, %d daemons", s.deployment.Declaration.Deployment, len(s.platform.VMs), len(s.nodes))
	return nil
}

// operatorName is the operator who runs the demo.
const operatorName = "turno-noche"

// nodeSettings returns the settings of one daemon.
func (s *stage) nodeSettings(number int, zone string) daemon.Settings {
	settings := daemon.Settings{
		ID:            fmt.Sprintf("entry-%d", number+1),
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

// bootstrapHash returns the hash of the key of the demo's operator.
func bootstrapHash(deployment examples.Deployment) string {
	for _, known := range deployment.Declaration.Operators {
		if known.Name == operatorName {
			return known.KeyHashes[0]
		}
	}
	return ""
}

// stop stops everything at once.
func (s *stage) stop() {
	for _, node := range s.nodes {
		node.Kill()
	}
	if s.platform != nil {
		s.platform.Stop()
	}
}

// declare applies the declaration and has the groups created by plan.
func (s *stage) declare() error {
	applied, err := s.operator.Apply(operator.ApplyRequest{
		Files: filesOf(s.deployment),
	})
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	s.say("applied: revision %d, accepted=%t, held by %d of %d daemons", applied.Revision, applied.Accepted, applied.Holders, applied.Daemons)
	if err = s.carryOut(plan.Intent{
		Kind: plan.Reconcile,
	}); err != nil {
		return err
	}
	return s.awaitWhole(s.declaredGroups(), 30*time.Second)
}

// declaredGroups returns how many groups are declared.
func (s *stage) declaredGroups() int {
	count := 0
	for _, model := range s.deployment.Declaration.Models {
		for _, replicas := range model.Replicas {
			count += replicas
		}
	}
	return count
}

// planTimeout bounds the carrying out of one plan.
const planTimeout = 90 * time.Second

// carryOut plans an intent, confirms it and waits until it is done.
func (s *stage) carryOut(intent plan.Intent) error {
	proposed, err := s.operator.Propose(intent)
	if err != nil {
		return errors.Wrapf(err, "plan %s", intent)
	}
	s.say("plan %s: %s", proposed.Plan.ID, intent)
	for _, step := range proposed.Plan.Steps {
		s.say("    stage %d  %s", step.Stage, step)
	}
	s.say("    predicted: %.0f s of group downtime, %.0f stranded accelerator seconds", proposed.DowntimeSeconds, proposed.StrandedSeconds)
	if _, err = s.operator.Confirm(proposed.Plan.ID); err != nil {
		return errors.Wrapf(err, "confirm plan %s", proposed.Plan.ID)
	}
	deadline := time.Now().Add(planTimeout)
	for time.Now().Before(deadline) {
		shown, showErr := s.operator.Plan(proposed.Plan.ID)
		if showErr == nil && shown.Plan.State.IsFinal() {
			s.say("plan %s: %s %s", shown.Plan.ID, shown.Plan.State, shown.Plan.Reason)
			if shown.Plan.State != plan.Done {
				return errors.Errorf("plan %s: %s: %s", shown.Plan.ID, shown.Plan.State, shown.Plan.Reason)
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.showGroups()
	return errors.Errorf("plan %s: not done after %s", proposed.Plan.ID, planTimeout)
}

// showGroups writes what the operator's daemon knows of each group and lease.
func (s *stage) showGroups() {
	groups, err := s.operator.Groups()
	if err != nil {
		s.say("groups: %s", err)
		return
	}
	for _, one := range groups {
		s.say("    %s %s generation %d, whole %t, evidence %.1f s old, plan %q", one.Record.Name, one.Record.Phase, one.Record.Generation, one.Serveable, one.Age, one.Record.Plan)
	}
	status, err := s.operator.Status()
	if err != nil {
		s.say("status: %s", err)
		return
	}
	for _, lease := range status.Leases {
		s.say("    shard %d: %s", lease.Shard, lease.Holder)
	}
}

// whole returns how many groups exist and how many may be given requests, as
// the operator's daemon sees them.
func (s *stage) whole() (groups, whole int) {
	snapshot := s.nodes[0].Daemon().Snapshot()
	for _, model := range s.deployment.Declaration.Models {
		whole += len(snapshot.Serveable(model.Name, time.Now()))
	}
	return len(snapshot.Groups), whole
}

// awaitWhole waits until a number of groups serve.
func (s *stage) awaitWhole(count int, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if _, whole := s.whole(); whole >= count {
			s.say("%d groups serve", whole)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	groups, whole := s.whole()
	return errors.Errorf("only %d of %d groups (%d known) serve after %s", whole, count, groups, patience)
}

// loadSettings returns the callers' load.
func (s *stage) loadSettings() load.Settings {
	declared := s.deployment.Declaration
	keys := make([]string, len(declared.Organisations))
	for i, organisation := range declared.Organisations {
		keys[i] = examples.Key(organisation.Name)
	}
	service := declared.Services[0]
	return load.Settings{
		Rate:          s.settings.Rate,
		Duration:      s.settings.Duration,
		Seed:          s.settings.Seed,
		Model:         declared.Models[0].Name,
		ServicePrefix: service.Prefix,
		ChargePath:    service.NotRepeatable[0].Path,
		Keys:          keys,
		Tokens:        24,
		Deadline:      20 * time.Second,
		PlainShare:    0.2,
		ChargeShare:   0.1,
	}
}
