package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
func (p *Platform) startServer(service, domain string) error {
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
		Handler:           s.sayLeave(mux),
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
	s.platform.promises.forgetServer(s.id)
	s.serve(listener)
	return nil
}

// ID returns the server's id.
func (s *Server) ID() string {
	return s.id
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

// handleOrder takes an order.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.platform.apply(s, order))
}

// apply carries out an order and returns its status. One mutex of the platform
// covers all orders, so that the ledger sees them one after the other.
func (p *Platform) apply(s *Server, order wire.Order) int {
	p.orders.Lock()
	defer p.orders.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.state.Group
	isSame := group != nil && group.Name == order.Group && group.Epoch == order.Epoch
	switch order.Operation {
	case wire.OperationJoin:
		return s.join(order, isSame)
	case wire.OperationOpen:
		return s.open(isSame)
	case wire.OperationClose:
		if isSame && group.State == "open" {
			s.setState("ready")
		}
		return http.StatusOK
	case wire.OperationLeave:
		if isSame {
			s.state.Group = nil
			s.tell()
		}
		return http.StatusOK
	case wire.OperationStage:
		s.state.Staged = []string{order.Model}
		s.tell()
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// setState changes the membership's state. The mutex is held.
func (s *Server) setState(state string) {
	next := *s.state.Group
	next.State = state
	s.state.Group = &next
	s.tell()
}

// join makes the server a member. The mutex is held.
func (s *Server) join(order wire.Order, isSame bool) int {
	switch {
	case isSame && slices.Equal(s.members, order.Members):
		return http.StatusOK
	case isSame || order.Epoch < s.seen:
		return http.StatusPreconditionFailed
	}
	s.platform.checkFree(s)
	s.seen = order.Epoch
	s.members = order.Members
	s.state.Group = &wire.Membership{
		Name:  order.Group,
		Epoch: order.Epoch,
		Rank:  slices.Index(order.Members, s.id),
		State: "joining",
	}
	s.tell()
	time.AfterFunc(loadTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		now := s.state.Group
		if now == nil || now.Name != order.Group || now.Epoch != order.Epoch || now.State != "joining" {
			return
		}
		s.state.Models = []wire.LoadedModel{
			{
				Name: order.Model,
			},
		}
		s.state.Staged = []string{order.Model}
		s.platform.noteReady(s.id, order.Group, order.Epoch)
		s.setState("ready")
	})
	return http.StatusAccepted
}

// open lets a ready head serve. The mutex is held.
func (s *Server) open(isSame bool) int {
	if !isSame || s.state.Group.State != "ready" {
		return http.StatusConflict
	}
	s.platform.checkReady(s)
	s.setState("open")
	return http.StatusAccepted
}

// handleRequest runs a request.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	s.platform.checkDirectives(s, r)
	s.mutex.Lock()
	mood := s.mood
	isHead := s.domain == "" || (s.state.Group != nil && s.state.Group.Rank == 0 && s.state.Group.State == "open")
	s.mutex.Unlock()
	if !isHead {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire.HeaderID)
	if mood == Shedding || !s.waitWhole(r) {
		s.askForPause(w, r)
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.platform.noteRun(s, r, id)
	if isCrashing(r) {
		s.platform.crash(s, r)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderSeal, "seal."+s.id+"."+id)
	switch {
	case mood == Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case r.Header.Get(wire.HeaderModel) != "":
		s.stream(w, r, mood)
	default:
		s.answerWhole(w, id, body, mood)
	}
}

// answerWhole answers a plain request.
func (s *Server) answerWhole(w http.ResponseWriter, id string, body []byte, mood Mood) {
	time.Sleep(workTime)
	content := "answer to " + id + " with " + strconv.Itoa(len(body)) + " bytes"
	switch mood {
	case Cutting:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		// The connection ends before the length is reached.
		_, _ = io.WriteString(w, content[:len(content)/2])
	case Extra:
		s.answerTwice(w, content)
	default:
		_, _ = io.WriteString(w, content)
	}
}

// answerTwice sends the answer, and then one to a request that nobody sent.
func (s *Server) answerTwice(w http.ResponseWriter, content string) {
	controller := http.NewResponseController(w)
	conn, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": " + w.Header().Get(wire.HeaderID) + "\r\n" + wire.HeaderSeal + ": " + w.Header().Get(wire.HeaderSeal) + "\r\n"
	_, _ = fmt.Fprintf(buffer, "%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: nobody\r\n%s: foreign\r\nContent-Length: 7\r\n\r\nforeign", wire.HeaderID, wire.HeaderSeal)
	_ = buffer.Flush()
	time.Sleep(workTime)
}

// waitWhole waits while the group lacks a member, and returns false when it is
// broken or the caller has gone.
func (s *Server) waitWhole(r *http.Request) bool {
	for end := time.Now().Add(stallTime); ; {
		if s.domain == "" || s.platform.isWhole(s) {
			return true
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			return false
		}
		time.Sleep(eventTime)
	}
}

// stream answers event by event, after the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, mood Mood) {
	_, most, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
	tokens, _ := strconv.Atoi(most)
	count := max(1, tokens/tokensPerEvent)
	last, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= count; i++ {
		time.Sleep(eventTime)
		if !s.waitWhole(r) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		event := Event(r.Header.Get(wire.HeaderID), i)
		if mood == Cutting && i == count/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = controller.Flush()
	}
}

// Event returns the event of a number in the stream that answers a request.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}
