package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"TlsKey"`
	Value     []byte `json:"Value,omitempty"`
	Version   int64  `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

// rowKey identifies a row.
type rowKey struct {
	table, part, key string
}

// transaction is the body of a conditional write.
type transaction struct {
	ExpectRev []row `json:"ExpectRev"`
	Writes    []row `json:"Writes"`
	Remove    []row `json:"Remove"`
}

// result is an answer with rows.
type result struct {
	Rows    []row   `json:"Rows"`
	HasMore bool    `json:"HasMore"`
	Version int64   `json:"Ver"`
	NowMs   float64 `json:"NowMs"`
}

// Times and sizes of the store.
const (
	storeDelay         = 4 * time.Millisecond
	commitDelay        = 5 * time.Millisecond
	maxPageRows        = 500
	maxTxEntries       = 100
	missedHeartbeats   = 3
	lapseCheckInterval = 50 * time.Millisecond
)

// store is the stand-in of the platform's store.
type store struct {
	stage   *stage
	address string
	server  *http.Server
	started time.Time

	mutex   sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	// heartbeats are the times of the last status reports of servers, by ID. Those of a server that
	// is cut off do not reach the store.
	heartbeats map[string]time.Time
	cutOff     map[string]bool
	stopped    chan struct{}
}

// newStore serves an empty store.
func newStore(s *stage) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &store{
		stage:      s,
		address:    listener.Addr().String(),
		started:    time.Now(),
		rows:       map[rowKey]row{},
		version:    1,
		changed:    make(chan struct{}),
		heartbeats: map[string]time.Time{},
		cutOff:     map[string]bool{},
		stopped:    make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", t.handleGet)
	mux.HandleFunc("GET /-/rows-feed", t.handleFeed)
	mux.HandleFunc("POST /-/rows-tx", t.handleCommit)
	mux.HandleFunc("PUT /standin/heartbeat/{id}", t.handleHeartbeat)
	t.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = t.server.Serve(listener) }()
	go t.dropSilentServers()
	return t, nil
}

// close ends the store.
func (t *store) close() {
	close(t.stopped)
	_ = t.server.Close()
}

// put writes a row as the operator does.
func (t *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		t.stage.note("row %s/%s is not encoded: %s", table, key, err)
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.version++
	t.apply(row{
		Table: table,
		Key:   key,
		Value: encoded,
	})
	t.notify()
}

// apply applies one change at the current version. The mutex is held.
func (t *store) apply(change row) {
	change.Version = t.version
	key := rowKey{
		table: change.Table,
		part:  change.Part,
		key:   change.Key,
	}
	if change.Tombstone {
		delete(t.rows, key)
	} else {
		t.rows[key] = change
	}
	t.history = append(t.history, change)
}

// notify wakes the calls that wait for changes. The mutex is held.
func (t *store) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// result returns an answer as of now. The mutex is held.
func (t *store) result(rows []row) result {
	return result{
		Rows:    rows,
		Version: t.version,
		NowMs:   float64(time.Since(t.started).Microseconds()) / 1000,
	}
}

// answer writes an answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handleGet answers with one page of a table.
func (t *store) handleGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(query.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	t.mutex.Lock()
	var rows []row
	for key, stored := range t.rows {
		isWanted := key.table == query.Get("Table") && key.part == query.Get("part") && key.key >= query.Get("Source")
		if end := query.Get("TargetVersion"); isWanted && (end == "" || key.key < end) {
			rows = append(rows, stored)
		}
	}
	page := t.result(nil)
	t.mutex.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	page.HasMore = len(rows) > limit
	page.Rows = rows[:min(limit, len(rows))]
	answer(w, http.StatusOK, page)
}

// handleFeed answers with the changes of a table since a version.
func (t *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for isLate := false; ; {
		t.mutex.Lock()
		var changes []row
		for _, change := range t.history {
			if change.Table == query.Get("Table") && change.Version > since {
				changes = append(changes, change)
			}
		}
		changed, body := t.changed, t.result(changes)
		t.mutex.Unlock()
		if len(changes) > 0 || isLate {
			answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isLate = true
		case <-r.Context().Done():
			return
		}
	}
}

// handleCommit carries out a transaction.
func (t *store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var sent transaction
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || len(sent.ExpectRev)+len(sent.Writes)+len(sent.Remove) > maxTxEntries {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, change := range append(slices.Clone(sent.Writes), sent.Remove...) {
		if change.Table == "servers" {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	time.Sleep(commitDelay)
	t.mutex.Lock()
	status, body := t.commit(sent)
	t.mutex.Unlock()
	answer(w, status, body)
}

// commit carries out a transaction if its conditions hold. The mutex is held.
func (t *store) commit(sent transaction) (int, result) {
	var found []row
	holds := true
	for _, expected := range sent.ExpectRev {
		stored := t.rows[rowKey{
			table: expected.Table,
			part:  expected.Part,
			key:   expected.Key,
		}]
		holds = holds && stored.Version == expected.Version
		found = append(found, stored)
	}
	if !holds {
		return http.StatusPreconditionFailed, t.result(found)
	}
	t.version++
	for _, write := range sent.Writes {
		t.apply(write)
	}
	for _, remove := range sent.Remove {
		remove.Tombstone = true
		t.apply(remove)
	}
	t.notify()
	return http.StatusOK, t.result(nil)
}

// handleHeartbeat takes the status report of a server.
func (t *store) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var entry json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.cutOff[id] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.heartbeats[id] = time.Now()
	key := rowKey{
		table: "servers",
		key:   id,
	}
	if string(t.rows[key].Value) == string(entry) {
		return
	}
	t.version++
	t.apply(row{
		Table: "servers",
		Key:   id,
		Value: entry,
	})
	t.notify()
}

// setCutOff sets whether the status reports of a server reach the store.
func (t *store) setCutOff(id string, isCutOff bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cutOff[id] = isCutOff
}

// entryOf returns the entry of a server as text; empty if there is none.
func (t *store) entryOf(id string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return string(t.rows[rowKey{
		table: "servers",
		key:   id,
	}].Value)
}

// dropSilentServers removes the entries of servers after three status reports of silence.
func (t *store) dropSilentServers() {
	for {
		select {
		case <-t.stopped:
			return
		case <-time.After(lapseCheckInterval):
		}
		t.mutex.Lock()
		for id, last := range t.heartbeats {
			if time.Since(last) < missedHeartbeats*heartbeatMs*time.Millisecond {
				continue
			}
			delete(t.heartbeats, id)
			t.version++
			t.apply(row{
				Table:     "servers",
				Key:       id,
				Tombstone: true,
			})
			t.notify()
			go t.stage.note("the store drops the entry of %s, which was silent for three status reports", id)
		}
		t.mutex.Unlock()
	}
}
