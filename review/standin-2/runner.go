package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a backend server.
const (
	joinTime      = 200 * time.Millisecond
	formTime      = 300 * time.Millisecond
	tokensAnEvent = 5
)

// membership is a server's place in a group, as its entry has it.
type membership struct {
	Name  string `json:"Name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"State"`
}

// loadedModel is a model that a server has loaded.
type loadedModel struct {
	Name    string `json:"Name"`
	Version int    `json:"Version"`
}

// entry is what a server keeps of itself in the store, and tells in its report.
type entry struct {
	Service  string        `json:"Service"`
	Address  string        `json:"Address"`
	Zone     string        `json:"Zone"`
	Version  string        `json:"Version"`
	Capacity int           `json:"Capacity"`
	State    string        `json:"State"`
	Phase    string        `json:"Phase,omitempty"`
	Models   []loadedModel `json:"Models,omitempty"`
	Domain   string        `json:"Domain,omitempty"`
	Staged   []string      `json:"Staged,omitempty"`
	Group    *membership   `json:"group,omitempty"`
}

// order is the body of an order.
type order struct {
	Operation string   `json:"Operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"Model"`
	Members   []string `json:"Members"`
	Method    string   `json:"Method"`
}

// runner is one backend server.
type runner struct {
	id      string
	store   string
	address string
	// isUnframed makes answers have neither a length nor chunks: they end with their channel.
	isUnframed bool
	eventTime  time.Duration
	slots      chan struct{}

	mutex       sync.Mutex
	entry       entry
	members     []string
	latestEpoch int64
	running     int
	output      sync.Mutex
}

// runRunner runs one backend server until it is killed.
func runRunner(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "the server's ID")
	address := flags.String("address", "", "IP:port to listen on")
	service := flags.String("service", "", "the server's service")
	domain := flags.String("domain", "", "the domain of a model server")
	storeAddress := flags.String("store", "", "IP:port of the store")
	capacity := flags.Int("capacity", 26, "requests at once")
	isUnframed := flags.Bool("unframed", false, "answer without a length")
	eventMs := flags.Int("event-ms", 100, "time of an event of a stream")
	_ = flags.Parse(arguments)
	r := &runner{
		id:         *id,
		store:      *storeAddress,
		address:    *address,
		isUnframed: *isUnframed,
		eventTime:  time.Duration(*eventMs) * time.Millisecond,
		slots:      make(chan struct{}, *capacity),
		entry: entry{
			Service:  *service,
			Address:  *address,
			Zone:     "zone-a",
			Version:  "v1",
			Capacity: *capacity,
			State:    "ready",
		},
	}
	r.entry.Phase = "both"
	r.entry.Domain = *domain
	r.entry.Staged = []string{modelName}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println("listen:", err)
		os.Exit(exitNotRun)
	}
	go func() {
		for {
			r.report()
			time.Sleep(heartbeatMs * time.Millisecond)
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(exitNotRun)
		}
		go r.serve(conn)
	}
}

// say writes a line about a request.
func (r *runner) say(format string, arguments ...any) {
	r.output.Lock()
	defer r.output.Unlock()
	fmt.Printf(format+"\n", arguments...)
}

// report writes the server's entry into the store.
func (r *runner) report() {
	r.mutex.Lock()
	encoded, err := json.Marshal(r.entry)
	r.mutex.Unlock()
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+r.store+"/standin/heartbeat/"+r.id, bytes.NewReader(encoded))
	if err != nil {
		return
	}
	if reply, err := http.DefaultClient.Do(request); err == nil {
		_ = reply.Body.Close()
	}
}

// serve serves the requests of one channel, one at a time.
func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != r.id {
			_, _ = io.Copy(io.Discard, request.Body)
			r.write(conn, http.StatusMisdirectedRequest, "Instance-Id: "+r.id+"\r\n", nil)
			continue
		}
		switch request.URL.Path {
		case "/-/order":
			r.handleOrder(conn, request)
		case "/-/report":
			r.mutex.Lock()
			body, _ := json.Marshal(struct {
				entry
				Pace float64 `json:"pace"`
			}{
				entry: r.entry,
				Pace:  1,
			})
			r.mutex.Unlock()
			r.write(conn, http.StatusOK, "Content-Type: application/json\r\n", body)
		case "/health":
			r.write(conn, http.StatusOK, "Instance-Id: "+r.id+"\r\n", nil)
		default:
			if !r.run(conn, request) {
				return
			}
		}
	}
}

// write writes an answer with a length.
func (r *runner) write(conn net.Conn, status int, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

// handleOrder carries out an order.
func (r *runner) handleOrder(conn net.Conn, request *http.Request) {
	var given order
	if json.NewDecoder(request.Body).Decode(&given) != nil {
		r.write(conn, http.StatusBadRequest, "", nil)
		return
	}
	r.mutex.Lock()
	status := r.apply(given)
	r.mutex.Unlock()
	r.report()
	r.write(conn, status, "", nil)
}

// apply applies an order and returns the status. The mutex is held.
func (r *runner) apply(given order) int {
	group := r.entry.Group
	isSame := group != nil && group.Name == given.Group && group.Epoch == given.Epoch
	switch given.Operation {
	case "join":
		return r.join(given, isSame)
	case "open":
		if !isSame || (group.State != "ready" && group.State != "open") {
			return http.StatusConflict
		}
		if group.State == "ready" {
			r.setState("open", formTime, given)
		}
		return http.StatusAccepted
	case "close":
		if isSame && (group.State == "open" || group.State == "closing") {
			r.entry.Group = &membership{
				Name:  group.Name,
				Epoch: group.Epoch,
				Rank:  group.Rank,
				State: "closing",
			}
			go r.awaitIdle(given)
		}
		return http.StatusAccepted
	case "leave":
		if isSame {
			r.entry.Group = nil
		}
		return http.StatusOK
	default:
		r.entry.Staged = []string{given.Model}
		return http.StatusAccepted
	}
}

// join makes the server a member of a group. The mutex is held.
func (r *runner) join(given order, isSame bool) int {
	switch {
	case isSame && slices.Equal(r.members, given.Members):
		return http.StatusOK
	case isSame || given.Epoch < r.latestEpoch:
		return http.StatusPreconditionFailed
	}
	r.latestEpoch = given.Epoch
	r.members = given.Members
	r.entry.Models = []loadedModel{
		{
			Name:    given.Model,
			Version: 1,
		},
	}
	r.entry.Group = &membership{
		Name:  given.Group,
		Epoch: given.Epoch,
		Rank:  slices.Index(given.Members, r.id),
		State: "joining",
	}
	r.setState("ready", joinTime, given)
	return http.StatusAccepted
}

// setState changes the state in a group after a time, if the server is still in it.
func (r *runner) setState(state string, after time.Duration, given order) {
	time.AfterFunc(after, func() {
		r.mutex.Lock()
		group := r.entry.Group
		if group != nil && group.Name == given.Group && group.Epoch == given.Epoch {
			next := *group
			next.State = state
			r.entry.Group = &next
		}
		r.mutex.Unlock()
		r.report()
	})
}

// awaitIdle makes a head that closes ready once it runs nothing.
func (r *runner) awaitIdle(given order) {
	const interval = 20 * time.Millisecond
	for {
		r.mutex.Lock()
		isIdle := r.running == 0
		r.mutex.Unlock()
		if isIdle {
			r.setState("ready", 0, given)
			return
		}
		time.Sleep(interval)
	}
}

// run runs a request. It reports whether the channel serves further requests.
func (r *runner) run(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	r.mutex.Lock()
	group := r.entry.Group
	isServing := group != nil && group.Rank == 0 && (group.State == "open" || group.State == "closing")
	r.mutex.Unlock()
	select {
	case r.slots <- struct{}{}:
	default:
		isServing = false
	}
	if !isServing {
		return r.write(conn, http.StatusServiceUnavailable, "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n", nil)
	}
	r.changeRunning(1)
	defer func() {
		r.changeRunning(-1)
		<-r.slots
	}()
	r.say("runs request %s (%d bytes)", id, len(body))
	headers := "Request-Id: " + id + "\r\nServer-Seal: " + r.id + "." + id + "\r\nWeight-Versions: 1\r\n"
	return r.stream(conn, request, id, headers)
}

// changeRunning counts the requests that run.
func (r *runner) changeRunning(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running += change
}

// eventOf returns an event of the answer to a request.
func eventOf(path string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d %s\n\n", number, path, number, strings.Repeat("y", 40))
}

// eventsOf returns the number of events of the answer to a request, by its Token-Counts.
func eventsOf(tokenCounts string) int {
	_, answerTokens, _ := strings.Cut(tokenCounts, ",")
	n, _ := strconv.Atoi(answerTokens)
	return n / tokensAnEvent
}

// stream writes the events of a stream. It reports whether the channel serves further requests.
func (r *runner) stream(conn net.Conn, request *http.Request, id, headers string) bool {
	headers += "Content-Type: text/event-stream\r\n"
	if r.isUnframed {
		headers += "Connection: close\r\n"
	} else {
		headers += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers+"\r\n"); err != nil {
		return false
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	last := eventsOf(request.Header.Get("Token-Counts"))
	for number := first + 1; number <= last; number++ {
		time.Sleep(r.eventTime)
		event := eventOf(request.URL.Path, number)
		if !r.isUnframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
	}
	r.say("answered request %s with events %d to %d", id, first+1, last)
	if r.isUnframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
