package daemon_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/declaration"
	"headcourse/core/plan"
	"headcourse/daemon"
	"headcourse/io/operator"
	"headcourse/lab/examples"
	"headcourse/lab/fault"
	"headcourse/lab/platform"
)

// operatorName is the name of the operator whose key the tests use.
const operatorName = "turno-noche"

// cluster is a platform of stand-ins and complete daemons, connected over TCP.
type cluster struct {
	t          *testing.T
	deployment examples.Deployment
	platform   *platform.Platform
	nodes      []*daemon.Node
}

// startCluster starts the example deployment at scale 1 and a number of daemons.
func startCluster(t *testing.T, daemons int) *cluster {
	t.Helper()
	deployment, err := examples.Load("caudal-andino")
	qt.Assert(t, err, qt.IsNil)
	standIns, err := platform.Start(platform.Settings{
		VMs:            deployment.VMs(),
		Slots:          16,
		TokenInterval:  time.Millisecond,
		LoadsPerSecond: 1000,
		LoadBurst:      1000,
	})
	qt.Assert(t, err, qt.IsNil)
	c := &cluster{
		t:          t,
		deployment: deployment,
		platform:   standIns,
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.Kill()
		}
		standIns.Stop()
	})
	for number := range daemons {
		c.addDaemon(number)
	}
	return c
}

// addDaemon starts one daemon. The first daemon is the seed of the others.
func (c *cluster) addDaemon(number int) {
	settings := daemon.Settings{
		ID:            fmt.Sprintf("entry-%d", number),
		Zone:          c.deployment.Declaration.Zones[number%3].Name,
		Callers:       "127.0.0.1:0",
		Operators:     "127.0.0.1:0",
		Peers:         "127.0.0.1:0",
		Table:         c.platform.TableAddress(),
		VMList:        c.platform.VMListAddress(),
		PeerKey:       "test-peer-key-0123456789",
		BootstrapHash: c.deployment.Declaration.Operators[1].KeyHashes[0],
		DrainTime:     time.Minute,
		UnreadyTime:   time.Millisecond,
		IdleTime:      10 * time.Second,
	}
	if len(c.nodes) > 0 {
		settings.Seeds = []string{c.nodes[0].Daemon().PeerAddress()}
	}
	node, err := daemon.StartNode(settings, zap.NewNop())
	qt.Assert(c.t, err, qt.IsNil)
	c.nodes = append(c.nodes, node)
}

// operatorClient returns an operator's client for a daemon.
func (c *cluster) operatorClient(node *daemon.Node) *operator.Client {
	return operator.NewClient(node.OperatorsAddress(), examples.Key(operatorName))
}

// waitUntil waits until a condition holds. The timeout of the test run bounds the
// wait.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// formGroups applies the declaration, confirms a plan that forms its groups, and
// waits until every daemon sees all groups serveable.
func (c *cluster) formGroups() {
	reply, err := c.operatorClient(c.nodes[0]).Apply(operator.ApplyRequest{
		Files: []declaration.File{c.deployment.File},
	})
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, reply.Revision, qt.Equals, uint64(1))
	proposed, err := c.operatorClient(c.nodes[0]).Propose(plan.Intent{
		Kind: plan.Reconcile,
	})
	qt.Assert(c.t, err, qt.IsNil)
	// A daemon can confirm a plan that another daemon built.
	_, err = c.operatorClient(c.nodes[len(c.nodes)-1]).Confirm(proposed.Plan.ID)
	qt.Assert(c.t, err, qt.IsNil)
	for _, node := range c.nodes {
		waitUntil(func() bool {
			return len(node.Daemon().Snapshot().ServingGroups("redactor", time.Now())) == 8
		})
	}
}

// sendChat sends a chat completion to a daemon and returns status and body.
func (c *cluster) sendChat(node *daemon.Node) (int, string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + node.CallersAddress() + "/v1/chat/completions")
	request.Header.SetMethod("POST")
	request.Header.Set("Authorization", "Bearer "+examples.Key("epmaps"))
	request.SetBodyString(`{"model":"redactor","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`)
	qt.Assert(c.t, fasthttp.Do(request, response), qt.IsNil)
	return response.StatusCode(), string(response.Body())
}

// sendChatUntilOK sends chat completions to a daemon until one succeeds, and
// returns its body. On a slow test host the daemon's evidence may expire briefly,
// and it then refuses requests.
func (c *cluster) sendChatUntilOK(node *daemon.Node) string {
	body := ""
	waitUntil(func() bool {
		status, responseBody := c.sendChat(node)
		body = responseBody
		return status == 200
	})
	return body
}

// TestDaemonsServeThroughStoreOutageJoinAndStop runs complete daemons through
// group formation, serving, a store outage, the start of a daemon during the
// outage, and the planned stop of a daemon.
func TestDaemonsServeThroughStoreOutageJoinAndStop(t *testing.T) {
	c := startCluster(t, 3)
	c.formGroups()
	for _, node := range c.nodes {
		qt.Assert(t, strings.HasSuffix(c.sendChatUntilOK(node), "data: [DONE]\n\n"), qt.IsTrue)
	}
	_, err := operator.NewClient(c.nodes[0].OperatorsAddress(), "a-wrong-key-0123").Status()
	qt.Assert(t, err, qt.IsNotNil)

	c.platform.TableFaults.Set(fault.Faults{
		DropRequests: true,
	})
	// A daemon started during a store outage reads the configuration from its peers.
	c.addDaemon(3)
	lateNode := c.nodes[3]
	waitUntil(func() bool {
		return lateNode.Daemon().Snapshot().Configuration.Revision == 1
	})
	_, err = c.operatorClient(c.nodes[0]).Propose(plan.Intent{
		Kind: plan.DrainZone,
		Zone: "ibarra",
	})
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*table service does not answer.*")
	c.sendChatUntilOK(c.nodes[0])

	c.platform.TableFaults.Set(fault.Faults{})
	waitUntil(func() bool {
		return lateNode.Daemon().Roster().Contains(lateNode.Daemon().ID())
	})
	qt.Assert(t, c.nodes[1].Stop(), qt.IsNil)
	waitUntil(func() bool {
		return !c.nodes[0].Daemon().Roster().Contains(c.nodes[1].Daemon().ID())
	})
}

// TestOperatorClientReadsFleetState checks the replies that the operators'
// commands print, and the refusal of an unexpected revision and of an
// undeclared site.
func TestOperatorClientReadsFleetState(t *testing.T) {
	c := startCluster(t, 2)
	c.formGroups()
	client := c.operatorClient(c.nodes[1])
	status, err := client.Status()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Revision, qt.Equals, uint64(1))
	qt.Assert(t, status.Daemons, qt.HasLen, 2)
	qt.Assert(t, status.Zones, qt.HasLen, 3)
	groups, err := client.Groups()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, groups, qt.HasLen, 8)
	diff, err := client.Diff(operator.ApplyRequest{
		Files: []declaration.File{c.deployment.File},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, diff.Differences, qt.HasLen, 0)
	_, err = client.Apply(operator.ApplyRequest{
		Files: []declaration.File{c.deployment.File},
		From:  7,
	})
	qt.Assert(t, operator.IsInvalid(err), qt.IsTrue)
	_, err = client.Propose(plan.Intent{
		Kind: plan.DrainSite,
		Site: "nowhere",
	})
	qt.Assert(t, err, qt.ErrorMatches, `.*site "nowhere" is not declared.*`)
}

// Guards against a daemon that never stops: right after its start, a goroutine that Stop waits for
// waited itself until the daemon had stopped.
func TestDaemonStopsRightAfterItsStart(t *testing.T) {
	standIns, err := platform.Start(platform.Settings{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(standIns.Stop)
	const starts = 400
	for number := range starts {
		started, startErr := daemon.Start(daemon.Settings{
			ID:          fmt.Sprintf("entry-%d", number),
			Zone:        "quito-a",
			Peers:       "127.0.0.1:0",
			Table:       standIns.TableAddress(),
			VMList:      standIns.VMListAddress(),
			PeerKey:     "test-peer-key-0123456789",
			DrainTime:   time.Minute,
			UnreadyTime: time.Millisecond,
			IdleTime:    10 * time.Second,
		}, zap.NewNop())
		qt.Assert(t, startErr, qt.IsNil)
		time.Sleep(time.Duration(number%50) * 10 * time.Microsecond)
		stopped := make(chan struct{})
		go func() {
			started.Stop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(time.Minute):
			t.Fatalf("start %d: not stopped after a minute", number)
		}
	}
}
