package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/platform/wire"
)

// Server is one start of a backend server.
type Server struct {
	platform *Platform
	id       string
	service  string
	domain   string
	address  string
	// listens is where the server itself listens; address may lead there.
	listens string
	http    *http.Server

	mutex   sync.Mutex
	isDead  bool
	state   wire.Server
	members []string
	seen    int64
	mood    Mood
	pace    float64
	// pause is what the server asks for with each request that it turns away; 0: none.
	pause time.Duration
	// isLeaving tells that all answers say that the server leaves.
	isLeaving bool
	// limit is what all answers say that the server takes a second; nil: nothing.
	limit *float64
	cold  cold
}

// SetPace makes the server's report say how many times longer its work takes.
func (s *Server) SetPace(pace float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pace = pace
}

// Mood is how a server treats requests.
type Mood int

// The moods: Good; Failing answers 500; Shedding says that it ran nothing;
// Cutting breaks answers off; Extra sends an answer that nobody asked for after
// each whole one.
const (
	Good Mood = iota
	Failing
	Shedding
	Cutting
	Extra
)

// startServer starts a server and writes its entry.
func (p *Platform) startServer(service, domain, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "listen for a server of %s", service)
	}
	address := listener.Addr().String()
	if p.lead != nil {
		if address, err = p.lead(address); err != nil {
			return err
		}
	}
	p.mutex.Lock()
	p.next++
	id := fmt.Sprintf("i-%04d", p.next)
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
			Capacity: slots,
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
	s.serve(listener)
	return nil
}

// serve begins a start of the server: it writes its entry and serves. The mutex is held.
func (s *Server) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrder, s.handleOrder)
	mux.HandleFunc("GET "+wire.PathReport, s.handleReport)
	mux.HandleFunc("/", s.handleRequest)
	started := &http.Server{
		Handler:           s.sayOwn(mux),
		ReadHeaderTimeout: time.Minute,
	}
	s.http = started
	s.listens = listener.Addr().String()
	// Two starts within a millisecond are told apart too.
	s.state.Born = max(s.state.Born+1, time.Now().UnixMilli())
	go func() {
		// Serve ends with an error only when the server is closed.
		_ = started.Serve(listener)
	}()
	s.tell()
}

// Restart has the server crash and start again under its id, before its entry lapses. It
// holds and knows nothing of before; its host keeps what is staged.
func (s *Server) Restart() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDead {
		return nil
	}
	_ = s.http.Close()
	listener, err := net.Listen("tcp", s.listens)
	if err != nil {
		return errors.Wrapf(err, "start %s again", s.id)
	}
	s.state.Models = nil
	s.state.Group = nil
	s.members = nil
	s.seen = 0
	s.isLeaving = false
	s.limit = nil
	s.platform.promises.forgetServer(s.id)
	s.serve(listener)
	return nil
}

// ID returns the server's id.
func (s *Server) ID() string {
	return s.id
}

// Start returns what names this start of the server among those under its id.
func (s *Server) Start() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.id + "@" + strconv.FormatInt(s.state.Born, 10)
}

// Address returns the IP:port by which others reach the server.
func (s *Server) Address() string {
	return s.address
}

// SetMood changes how the server treats requests from now on.
func (s *Server) SetMood(mood Mood) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mood = mood
}

// Drain has the server say that it leaves.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.State = wire.StateDraining
	s.isLeaving = true
	s.tell()
}

// DrainByEntry has the server say that it leaves by its entry alone, not by its answers.
func (s *Server) DrainByEntry() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.State = wire.StateDraining
	s.tell()
}

// Leave has the server say that it leaves, and ends it some time later.
func (s *Server) Leave() {
	s.Drain()
	time.AfterFunc(leaveTime, s.Kill)
}

// Stop ends the server's process; its entry stays.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.http.Close()
}

// Kill ends the server without a word; its entry goes after the lapse.
func (s *Server) Kill() {
	s.mutex.Lock()
	s.isDead = true
	_ = s.http.Close()
	s.mutex.Unlock()
	time.AfterFunc(lapse, func() {
		s.platform.Store.put(wire.TableServers, s.id, nil)
	})
}

// tell writes the server's entry. The mutex is held.
func (s *Server) tell() {
	if s.isDead {
		return
	}
	encoded, err := json.Marshal(s.state)
	if err != nil {
		s.platform.violate("encode entry of " + s.id + ": " + err.Error())
		return
	}
	s.platform.Store.put(wire.TableServers, s.id, encoded)
}

// report is what a server answers to a probe.
type report struct {
	wire.EngineState
	wire.Report
}

// handleReport answers a probe.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// Whoever went away gets nothing.
	_ = json.NewEncoder(w).Encode(report{
		EngineState: s.state.EngineState,
		Report: wire.Report{
			Birth: s.state.Birth,
			Pace:  s.pace,
		},
	})
}

// isExpected tells whether a call is for this start; it answers 421 otherwise.
func (s *Server) isExpected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(wire.HeaderInstance); expected == "" || expected == s.id {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}
