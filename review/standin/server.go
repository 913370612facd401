package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"headcourse/platform/wire"
)

// Times of a backend server.
const (
	joinTime      = 200 * time.Millisecond
	formTime      = 300 * time.Millisecond
	eventInterval = 100 * time.Millisecond
)

// serverSettings are the settings of one backend server.
type serverSettings struct {
	ID      string
	Service string
	Zone    string
	Host    string
	Store   string
	// Domain is set for model engines.
	Domain   string
	Capacity int
	// WorkMs is how long a request takes that is not a stream.
	WorkMs int
	// IsChunked is set if streams are sent in chunks. Otherwise they have neither a length nor chunks.
	IsChunked bool
}

// server is the stand-in of a backend server. It writes a line to its standard output for each request
// that it runs and each event that it sends. SIGUSR1 is the platform's notice that it has to leave.
type server struct {
	settings serverSettings
	running  atomic.Int64

	mutex       sync.Mutex
	entry       wire.Server
	members     []string
	latestEpoch int64
}

// runServer runs a backend server until it is killed.
func runServer(encoded string) error {
	var settings serverSettings
	if err := json.Unmarshal([]byte(encoded), &settings); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(settings.Host, "0"))
	if err != nil {
		return err
	}
	s := &server{
		settings: settings,
		entry: wire.Server{
			Service:  settings.Service,
			Address:  listener.Addr().String(),
			Zone:     settings.Zone,
			Version:  json.RawMessage(`"v1"`),
			Capacity: settings.Capacity,
			State:    wire.StateReady,
		},
	}
	if settings.Domain != "" {
		s.entry.Phase = "both"
		s.entry.Domain = json.RawMessage(strconv.Quote(settings.Domain))
		s.entry.Models = []wire.LoadedModel{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrder, s.handleOrder)
	mux.HandleFunc("GET "+wire.PathReport, s.handleReport)
	mux.HandleFunc("/", s.handleRequest)
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGUSR1)
	go s.drainOn(notices)
	s.mutex.Lock()
	s.writeEntry()
	s.mutex.Unlock()
	served := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	return served.Serve(listener)
}

// drainOn announces that the server leaves, once it has the notice.
func (s *server) drainOn(notices <-chan os.Signal) {
	<-notices
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entry.State = wire.StateDraining
	s.writeEntry()
	s.log("draining", "")
}

// log writes a line for the record.
func (s *server) log(what, requestID string) {
	fmt.Printf("%s server %s: %s %s\n", time.Now().Format(timeFormat), s.settings.ID, what, requestID)
}

// writeEntry writes the server's entry to the store. The mutex is held.
func (s *server) writeEntry() {
	encoded, err := json.Marshal(s.entry)
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+s.settings.Store+pathEntry+s.settings.ID, bytes.NewReader(encoded))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// isExpected reports whether a call is meant for this server, and answers 421 if not.
func (s *server) isExpected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get(wire.HeaderInstance)
	if expected == "" || expected == s.settings.ID {
		return true
	}
	w.Header().Set("Instance-Id", s.settings.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// handleReport answers a probe.
func (s *server) handleReport(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"Phase":   s.entry.Phase,
		"Models":  s.entry.Models,
		"Busy":    false,
		"Running": s.running.Load(),
		"pace":    1,
		"group":   s.entry.Group,
		"Staged":  s.entry.Staged,
	})
}

// handleOrder carries out an order.
func (s *server) handleOrder(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.carryOut(order))
}

// carryOut carries an order out and returns the status of the answer.
func (s *server) carryOut(order wire.Order) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.entry.Group
	isOwn := group != nil && group.Name == order.Group && group.Epoch == order.Epoch
	switch order.Operation {
	case wire.OperationJoin:
		return s.join(order, isOwn)
	case wire.OperationOpen:
		return s.open(isOwn)
	case wire.OperationClose:
		return s.closeGroup(isOwn)
	case wire.OperationLeave:
		if isOwn {
			s.entry.Group = nil
			s.writeEntry()
		}
		return http.StatusOK
	case wire.OperationStage:
		s.entry.Staged = []string{order.Model}
		s.writeEntry()
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// join makes the server a member of a group. The mutex is held.
func (s *server) join(order wire.Order, isOwn bool) int {
	switch {
	case isOwn && slices.Equal(s.members, order.Members):
		return http.StatusOK
	case isOwn || order.Epoch < s.latestEpoch:
		return http.StatusPreconditionFailed
	}
	s.latestEpoch = order.Epoch
	s.members = order.Members
	joined := &wire.Membership{
		Name:  order.Group,
		Epoch: order.Epoch,
		Rank:  slices.Index(order.Members, s.settings.ID),
		State: "joining",
	}
	s.entry.Group = joined
	s.writeEntry()
	s.changeLater(joined, "joining", "ready", joinTime, func() {
		s.entry.Models = []wire.LoadedModel{
			{
				Name:    order.Model,
				Version: json.RawMessage("1"),
			},
		}
		s.entry.Staged = []string{order.Model}
	})
	return http.StatusAccepted
}

// changeLater changes the state of a membership after a while, if it is still in the former state.
func (s *server) changeLater(member *wire.Membership, from, to string, after time.Duration, change func()) {
	time.AfterFunc(after, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		current := s.entry.Group
		if current == nil || current.Name != member.Name || current.Epoch != member.Epoch || current.State != from {
			return
		}
		change()
		s.setState(to)
	})
}

// setState changes the state of the membership. The mutex is held.
func (s *server) setState(state string) {
	next := *s.entry.Group
	next.State = state
	s.entry.Group = &next
	s.writeEntry()
}

// open makes a head that is ready serve after formTime. The mutex is held.
func (s *server) open(isOwn bool) int {
	switch {
	case isOwn && s.entry.Group.State == "open":
		return http.StatusOK
	case !isOwn || s.entry.Group.State != "ready":
		return http.StatusConflict
	}
	s.changeLater(s.entry.Group, "ready", "open", formTime, func() {})
	return http.StatusAccepted
}

// closeGroup makes a head take no more requests. It is ready once it runs none. The mutex is held.
func (s *server) closeGroup(isOwn bool) int {
	if !isOwn || s.entry.Group.State != "open" {
		return http.StatusOK
	}
	if s.running.Load() == 0 {
		s.setState("ready")
		return http.StatusOK
	}
	s.setState("closing")
	return http.StatusAccepted
}

// endRun ends a run, and the closing of a group with it if that was the last one.
func (s *server) endRun() {
	if s.running.Add(-1) > 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.entry.Group != nil && s.entry.Group.State == "closing" {
		s.setState("ready")
	}
}

// isServing reports whether the server takes requests: engines do so as heads of open groups.
func (s *server) isServing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.entry.Group
	return s.settings.Domain == "" || (group != nil && group.Rank == 0 && group.State == "open")
}

// handleRequest runs a request.
func (s *server) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderID)
	w.Header().Set(wire.HeaderID, id)
	if !s.isExpected(w, r) {
		return
	}
	if !s.isServing() {
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.running.Add(1)
	defer s.endRun()
	s.log(fmt.Sprintf("runs, body of %d bytes,", size), id)
	w.Header().Set(wire.HeaderSeal, "seal."+id)
	if r.Header.Get(wire.HeaderModel) != "" {
		s.stream(w, r, id)
		return
	}
	time.Sleep(time.Duration(s.settings.WorkMs) * time.Millisecond)
	_, _ = io.WriteString(w, plainAnswer(id))
}

// plainAnswer is the body of the answer to a request that is not a stream.
func plainAnswer(id string) string {
	return "done " + id + "\n"
}

// streamEvent is one event of a stream.
func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// eventCount returns how many events a request asks for.
func eventCount(r *http.Request) int {
	_, answerTokens, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
	tokens, _ := strconv.Atoi(answerTokens)
	return tokens / tokensPerEvent
}

// stream writes the events of a stream.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	if s.settings.IsChunked {
		flusher := http.NewResponseController(w)
		s.writeEvents(w, flusher.Flush, r, id)
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	w.Header().Set("Connection", "close")
	writeHead(buffer, w.Header())
	s.writeEvents(buffer, buffer.Flush, r, id)
}

// writeEvents writes the events of a stream after the last one that the request names.
func (s *server) writeEvents(w io.Writer, flush func() error, r *http.Request, id string) {
	first, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	last := eventCount(r)
	for number := first + 1; number <= last; number++ {
		time.Sleep(eventInterval)
		_, _ = io.WriteString(w, streamEvent(id, number))
		if flush() != nil {
			s.log(fmt.Sprintf("lost the connection at event %d of %d of", number, last), id)
			return
		}
	}
	s.log(fmt.Sprintf("sent all events up to %d of", last), id)
}

// writeHead writes the head of an answer without a length.
func writeHead(buffer *bufio.ReadWriter, header http.Header) {
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffer)
	_, _ = buffer.WriteString("\r\n")
	_ = buffer.Flush()
}
