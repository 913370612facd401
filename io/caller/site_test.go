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

// key is the key of the organisation "org".
const key = "org-key-0123456789"

// site is a callers' server whose daemon is a fake: the snapshot is what the
// test says.
type site struct {
	server   *caller.Server
	snapshot atomic.Pointer[control.Snapshot]
	engines  *engine.Client
	store    table.Store
	registry metrics.Registry
	id       string
	client   *http1.Client
	mutex    sync.Mutex
	changed  []func()
}

// ID, Snapshot, Engines, Store, OnChange and IsAlive make the site a Source.
func (s *site) ID() string                  { return s.id }
func (s *site) Snapshot() *control.Snapshot { return s.snapshot.Load() }
func (s *site) Engines() *engine.Client     { return s.engines }
func (s *site) Store() table.Store          { return s.store }
func (s *site) IsAlive(daemon string) bool  { return daemon == s.id }

// OnChange registers what Wake calls.
func (s *site) OnChange(changed func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed = append(s.changed, changed)
}

// start starts a site before engine groups and plain servers at addresses,
// with a store of its own where store is nil.
func start(t *testing.T, engines, servers []string, store table.Store) *site {
	t.Helper()
	if store == nil {
		store = &tablestore.Memory{}
	}
	made := &site{
		id:       "daemon-1",
		engines:  engine.New(2 * time.Second),
		registry: metrics.NewRegistry(),
		client:   &http1.Client{},
		store: &table.Settling{
			Store: store,
		},
	}
	snapshot := snapshotOf(engines, servers)
	made.snapshot.Store(&snapshot)
	server, err := caller.Listen("127.0.0.1:0", made, made.registry, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	made.server = server
	t.Cleanup(server.Kill)
	return made
}

// snapshotOf returns a snapshot in which every group and server is well.
func snapshotOf(engines, servers []string) control.Snapshot {
	sum := sha256.Sum256([]byte(key))
	forever := time.Now().Add(time.Hour)
	snapshot := control.Snapshot{
		ServeUntil: forever,
		Daemons:    1,
		Warm:       true,
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
			Whole:      true,
			At:         forever,
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
			Group: control.ServerEvidence(id),
			Whole: true,
			At:    forever,
		})
	}
	snapshot.Book = snapshot.Book.WithEvidence(evidence...)
	return snapshot
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	retry   string
	body    []byte
}

// code returns the reason in an error body.
func (a answer) code() string {
	var said struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(a.body, &said) != nil {
		return ""
	}
	return said.Error.Code
}

// call sends one request to the site.
func (s *site) call(t *testing.T, method, path, body string, headers ...[2]string) answer {
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
	return answer{
		status:  response.StatusCode(),
		outcome: string(response.Header.Peek("X-Headcourse-Outcome")),
		retry:   string(response.Header.Peek("Retry-After")),
		body:    append([]byte(nil), response.Body()...),
	}
}

// await waits until a condition holds; a test that never gets there ends with
// the test's own timeout.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// closeSite closes a site's server and returns the error.
func (s *site) close(bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return s.server.Close(ctx)
}
