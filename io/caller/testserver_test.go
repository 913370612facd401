package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/plan"
	"headcourse/core/presence"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/io/caller"
	"headcourse/io/engine"
	"headcourse/io/http1"
	"headcourse/lab/tablestore"
)

// key is the API key of the organisation "org".
const key = "org-key-0123456789"

// testServer is a server for callers with a fake daemon, whose snapshot the test sets.
type testServer struct {
	server    *caller.Server
	snapshot  atomic.Pointer[control.Snapshot]
	engines   *engine.Client
	store     table.Store
	registry  metrics.Registry
	id        string
	client    *http1.Client
	mutex     sync.Mutex
	listeners []func()
}

// ID, Snapshot, Engines, Store, OnSnapshot and IsMember implement caller.Source.
func (s *testServer) ID() string                  { return s.id }
func (s *testServer) Snapshot() *control.Snapshot { return s.snapshot.Load() }
func (s *testServer) Engines() *engine.Client     { return s.engines }
func (s *testServer) Store() table.Store          { return s.store }
func (s *testServer) IsMember(daemon string) bool { return daemon == s.id }

// OnSnapshot registers a listener.
func (s *testServer) OnSnapshot(listener func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// startTestServer starts a server with one group per address in engines and one plain
// server per address in servers. If store is nil, the server gets a store of its own.
func startTestServer(t *testing.T, engines, servers []string, store table.Store) *testServer {
	t.Helper()
	if store == nil {
		store = &tablestore.Memory{}
	}
	started := &testServer{
		id:       "daemon-1",
		engines:  engine.New(2 * time.Second),
		registry: metrics.NewRegistry(),
		client:   &http1.Client{},
		store: &table.ResolvingStore{
			Store: store,
		},
	}
	snapshot := healthySnapshot(engines, servers)
	started.snapshot.Store(&snapshot)
	server, err := caller.Listen("127.0.0.1:0", started, started.registry, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	started.server = server
	t.Cleanup(server.Kill)
	return started
}

// healthySnapshot returns a snapshot in which every group is whole and every server live.
func healthySnapshot(engines, servers []string) control.Snapshot {
	sum := sha256.Sum256([]byte(key))
	inOneHour := time.Now().Add(time.Hour)
	snapshot := control.Snapshot{
		ServeUntil: inOneHour,
		Daemons:    1,
		IsWarm:     true,
		Configuration: plan.Configuration{
			Revision: 1,
			Declaration: declaration.Declaration{
				Organisations: []declaration.Organisation{{
					Name:              "org",
					KeyHashes:         []string{hex.EncodeToString(sum[:])},
					Share:             1,
					MaxInFlight:       1000,
					MaxQueued:         1000,
					RequestsPerSecond: 1e6,
				}},
				Models: []declaration.Model{{
					Name:    "m",
					Version: "1",
				}},
				Services: []declaration.Service{{
					Name:   "plain",
					Prefix: "/plain",
					NotRepeatable: []declaration.Endpoint{{
						Method: "POST",
						Path:   "/plain/charges",
					}},
				}},
			},
		},
	}
	var evidence []presence.Evidence
	for i, address := range engines {
		name := "m-" + string(rune('1'+i))
		snapshot.Groups = append(snapshot.Groups, group.Record{
			Name:       name,
			Model:      "m",
			Generation: 1,
			Phase:      group.Serving,
			Members: []group.Member{{
				VM:      name,
				Address: address,
			}},
		})
		evidence = append(evidence, presence.Evidence{
			Group:      name,
			Generation: 1,
			IsWhole:    true,
			ObservedAt: inOneHour,
			Slots:      100,
		})
	}
	for i, address := range servers {
		id := "server-" + string(rune('1'+i))
		snapshot.VMs = append(snapshot.VMs, vm.VM{
			ID:      id,
			Address: address,
			Service: "plain",
			State:   vm.Live,
		})
		evidence = append(evidence, presence.Evidence{
			Group:      control.ServerEvidenceName(id),
			IsWhole:    true,
			ObservedAt: inOneHour,
		})
	}
	snapshot.Evidence = snapshot.Evidence.WithEvidence(evidence...)
	return snapshot
}

// callResult is the answer that a caller gets.
type callResult struct {
	status     int
	outcome    string
	retryAfter string
	body       []byte
}

// reason returns the reason in an error body.
func (r callResult) reason() string {
	var parsed struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &parsed) != nil {
		return ""
	}
	return parsed.Error.Code
}

// call sends one request to the server.
func (s *testServer) call(t *testing.T, method, path, body string, headers ...[2]string) callResult {
	t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+key)
	for _, header := range headers {
		request.Header.Set(header[0], header[1])
	}
	request.SetBodyString(body)
	err := s.client.Do(s.server.Address(), request, response, true, false)
	qt.Check(t, err, qt.IsNil)
	return callResult{
		status:     response.StatusCode(),
		outcome:    string(response.Header.Peek("X-Headcourse-Outcome")),
		retryAfter: string(response.Header.Peek("Retry-After")),
		body:       append([]byte(nil), response.Body()...),
	}
}

// waitUntil waits until a condition holds. If it never does, the test's own timeout
// ends the test.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// close closes the server and returns the error.
func (s *testServer) close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.server.Close(ctx)
}
