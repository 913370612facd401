package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"headcourse/platform/wire"
)

// Server is a backend server. A restart under the same ID keeps the Server.
type Server struct {
	platform *Platform
	id       string
	service  string
	domain   string
	address  string
	// listenAddress is where the server listens; address may be that of a proxy.
	listenAddress string
	http          *http.Server
	// crashed is closed when the current start ends. It is guarded by mutex.
	crashed chan struct{}
	// isCrashing is set once a request is about to end the current start.
	isCrashing bool

	mutex       sync.Mutex
	isKilled    bool
	state       wire.Server
	members     []string
	latestEpoch int64
	behaviour   Behaviour
	pace        float64
	// retryAfter is the pause that the server requests with each rejection; 0 means none.
	retryAfter time.Duration
	// announcesDraining makes all answers announce that the server is draining.
	announcesDraining bool
	// limit is the limit that all answers announce, in requests per second; nil means none.
	limit *float64
	cold  coldState
	// slowdown is how many times later the server answers; 0 means no difference.
	slowdown float64
	// stillness holds the silences of the current start. It is guarded by mutex.
	stillness *stillness
	// runs are the requests that the current start runs.
	runs *runs
	// arrivals counts the requests that arrived.
	arrivals atomic.Int64
}

// SetPace sets the slowdown that the server reports: how many times longer its work takes.
func (s *Server) SetPace(pace float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pace = pace
}

// Behaviour is how a server treats requests.
type Behaviour int

// Normal answers normally; Failing answers 500; Rejecting rejects requests as not executed;
// Truncating closes the connection in the middle of an answer; ExtraAnswer sends a second
// answer that belongs to no request after each answer that is not a stream.
// The others affect answers without a length or chunks: Unframed ends them whole; UnframedTruncating closes the
// connection in order inside an event, UnframedResetting resets it between two events. ChunkedTruncating writes
// the last chunk inside an event.
// InvalidStatus, InvalidField, InvalidTrailer and CutHead write bytes that are no answer, and close the connection.
const (
	Normal Behaviour = iota
	Failing
	Rejecting
	Truncating
	ExtraAnswer
	Unframed
	UnframedTruncating
	UnframedResetting
	ChunkedTruncating
	InvalidStatus
	InvalidField
	InvalidTrailer
	CutHead
)

// startServer starts a server and writes its entry.
func (p *Platform) startServer(service, domain, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "listen for a server of %s", service)
	}
	address := listener.Addr().String()
	if p.advertisedAddress != nil {
		if address, err = p.advertisedAddress(address); err != nil {
			return err
		}
	}
	p.mutex.Lock()
	p.serverCount++
	id := fmt.Sprintf("i-%04d", p.serverCount)
	p.mutex.Unlock()
	s := &Server{
		platform: p,
		id:       id,
		service:  service,
		domain:   domain,
		address:  address,
		state: wire.Server{
			Service:  service,
			Address:  address,
			Zone:     zone,
			Capacity: serverCapacity,
			State:    wire.StateReady,
		},
	}
	if domain != "" {
		s.state.Phase = "both"
		s.state.Domain = json.RawMessage(strconv.Quote(domain))
	}
	p.mutex.Lock()
	p.servers[id] = s
	p.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startServing(listener)
	return nil
}

// startServing begins a new start of the server on a listener: it writes the entry and serves
// requests. The mutex is held.
func (s *Server) startServing(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrder, s.handleOrder)
	mux.HandleFunc("GET "+wire.PathReport, s.handleReport)
	mux.HandleFunc("/", s.handleRequest)
	started := &http.Server{
		Handler:           s.addDirectives(mux),
		ReadHeaderTimeout: time.Minute,
	}
	s.http = started
	s.crashed = make(chan struct{})
	s.isCrashing = false
	s.runs = &runs{}
	s.stillness = &stillness{
		ended: s.crashed,
	}
	s.listenAddress = listener.Addr().String()
	// Two starts within one millisecond still get different values.
	s.state.Born = max(s.state.Born+1, time.Now().UnixMilli())
	held := s.stillness
	go func() {
		// Serve returns an error only after the server is closed.
		_ = started.Serve(stillListener{
			Listener:  listener,
			stillness: held,
		})
	}()
	s.writeEntry()
}

// Restart makes the server crash and start again under its ID, before its entry expires. The
// server loses its models, its group and its limit, and its answers no longer announce that it
// is draining; a draining state in its entry stays. Its host keeps the staged weights. A killed
// server is not restarted.
func (s *Server) Restart() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isKilled {
		return nil
	}
	s.end()
	listener, err := net.Listen("tcp", s.listenAddress)
	if err != nil {
		return errors.Wrapf(err, "restart server %s", s.id)
	}
	s.state.Models = nil
	s.state.Group = nil
	s.members = nil
	s.latestEpoch = 0
	s.announcesDraining = false
	s.limit = nil
	s.platform.directives.removeServer(s.id)
	s.startServing(listener)
	return nil
}

// ID returns the server's ID.
func (s *Server) ID() string {
	return s.id
}

// StartID returns the identifier of the server's current start: its ID and the time of its
// birth. The identifier differs from those of all other starts under the same ID.
func (s *Server) StartID() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.id + "@" + strconv.FormatInt(s.state.Born, 10)
}

// Address returns the IP:port by which others reach the server.
func (s *Server) Address() string {
	return s.address
}

// Arrivals returns the number of requests that arrived at the server.
func (s *Server) Arrivals() int64 {
	return s.arrivals.Load()
}

// SetBehaviour changes how the server treats requests from now on.
func (s *Server) SetBehaviour(behaviour Behaviour) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = behaviour
}

// Drain makes the server announce in its entry and its answers that it is draining.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.State = wire.StateDraining
	s.announcesDraining = true
	s.writeEntry()
}

// DrainInEntryOnly makes the server announce that it is draining in its entry, but not in its
// answers.
func (s *Server) DrainInEntryOnly() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.State = wire.StateDraining
	s.writeEntry()
}

// Leave makes the server announce that it is draining, and ends it after drainTime.
func (s *Server) Leave() {
	s.Drain()
	time.AfterFunc(drainTime, s.Kill)
}

// Stop ends the server's process; its entry stays. Restart starts it again.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.end()
}

// Kill ends the server without an announcement; its entry is removed after entryTTL.
func (s *Server) Kill() {
	s.mutex.Lock()
	s.isKilled = true
	s.end()
	s.mutex.Unlock()
	time.AfterFunc(entryTTL, func() {
		s.platform.Store.putFromPlatform(wire.TableServers, s.id, nil)
	})
}

// end ends the current start, unless it has ended already. The mutex is held.
func (s *Server) end() {
	select {
	case <-s.crashed:
		return
	default:
	}
	close(s.crashed)
	_ = s.http.Close()
}

// writeEntry writes the server's entry unless the server was killed. The mutex is held.
func (s *Server) writeEntry() {
	if s.isKilled {
		return
	}
	encoded, err := json.Marshal(s.state)
	if err != nil {
		s.platform.recordViolation("encode entry of " + s.id + ": " + err.Error())
		return
	}
	s.platform.Store.putFromPlatform(wire.TableServers, s.id, encoded)
}

// probeAnswer is the body of the answer to a probe.
type probeAnswer struct {
	wire.EngineState
	wire.Report
}

// handleReport answers a probe.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	if !s.isForThisServer(w, r) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: the caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(probeAnswer{
		EngineState: s.state.EngineState,
		Report: wire.Report{
			Birth: s.state.Birth,
			Pace:  s.pace,
		},
	})
}

// isForThisServer reports whether a call is addressed to this server's ID, and answers 421 if
// not.
func (s *Server) isForThisServer(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(wire.HeaderInstance); expected == "" || expected == s.id {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}
