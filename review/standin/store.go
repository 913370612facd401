package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// transactionTime is how long the store takes for a transaction.
const transactionTime = 5 * time.Millisecond

// pathEntry is the path at which a backend server writes its entry. The system does not know it.
const pathEntry = "/entry/"

// store is the stand-in of the platform's table store.
type store struct {
	address   string
	startedAt time.Time

	mutex   sync.Mutex
	rows    map[string]wire.Row
	version int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// startStore starts a store on a loopback address.
func startStore(host string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address:   listener.Addr().String(),
		startedAt: time.Now(),
		rows:      map[string]wire.Row{},
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRead, s.handleRead)
	mux.HandleFunc("GET "+wire.PathFeed, s.handleFeed)
	mux.HandleFunc("POST "+wire.PathCommit, s.handleCommit)
	mux.HandleFunc("PUT "+pathEntry+"{id}", s.handleEntry)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// rowKey identifies a row.
func rowKey(table, part, key string) string {
	return table + "\x00" + part + "\x00" + key
}

// put writes a row, or removes it if value is nil.
func (s *store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.write(table, "", key, value)
	s.signal()
}

// write writes or removes a row at the current version. The mutex is held.
func (s *store) write(table, part, key string, value []byte) {
	s.rows[rowKey(table, part, key)] = wire.Row{
		Table:     table,
		Part:      part,
		Key:       key,
		Value:     value,
		Version:   s.version,
		Tombstone: value == nil,
	}
}

// signal wakes the waiting feeds. The mutex is held.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// result returns an answer with rows. The mutex is held.
func (s *store) result(rows []wire.Row) wire.Result {
	return wire.Result{
		Rows:    rows,
		Version: s.version,
		NowMs:   float64(time.Since(s.startedAt).Microseconds()) / float64(time.Millisecond/time.Microsecond),
	}
}

// answer writes an answer.
func answer(w http.ResponseWriter, status int, result any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(result)
}

// encodedRows are rows in the form in which they are sent: a value is encoded as base64, as that of a
// []byte is.
func encodedRows(rows []wire.Row) []map[string]any {
	encoded := []map[string]any{}
	for _, row := range rows {
		fields := map[string]any{
			"Table":  row.Table,
			"part":   row.Part,
			"TlsKey": row.Key,
			"Ver":    row.Version,
		}
		if row.Tombstone {
			fields["Tombstone"] = true
		} else {
			fields["Value"] = []byte(row.Value)
		}
		encoded = append(encoded, fields)
	}
	return encoded
}

// answerRows writes an answer with rows.
func answerRows(w http.ResponseWriter, status int, result wire.Result) {
	answer(w, status, map[string]any{
		"Rows":    encodedRows(result.Rows),
		"HasMore": result.HasMore,
		"Ver":     result.Version,
		"NowMs":   result.NowMs,
	})
}

// handleRead answers a read of a table.
func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	const maxRows = 500
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mutex.Lock()
	var rows []wire.Row
	for _, row := range s.rows {
		isInRange := row.Key >= query.Get("Source") && (query.Get("TargetVersion") == "" || row.Key < query.Get("TargetVersion"))
		if row.Table == query.Get("Table") && row.Part == query.Get("part") && !row.Tombstone && isInRange {
			rows = append(rows, row)
		}
	}
	result := s.result(nil)
	s.mutex.Unlock()
	slices.SortFunc(rows, func(a, b wire.Row) int { return cmp.Compare(a.Key, b.Key) })
	result.HasMore = len(rows) > limit
	result.Rows = rows[:min(limit, len(rows))]
	answerRows(w, http.StatusOK, result)
}

// handleFeed answers a call for the changes of a table, once there is one or the wait is over.
func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mutex.Lock()
		var rows []wire.Row
		for _, row := range s.rows {
			if row.Table == query.Get("Table") && row.Version > since {
				rows = append(rows, row)
			}
		}
		result, changed := s.result(rows), s.changed
		s.mutex.Unlock()
		if len(rows) > 0 || isOver {
			slices.SortFunc(result.Rows, func(a, b wire.Row) int { return cmp.Compare(a.Version, b.Version) })
			answerRows(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// handleCommit carries out a transaction.
func (s *store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var transaction wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []wire.Row
	isMet := true
	for _, condition := range transaction.Conditions {
		row, isKnown := s.rows[rowKey(condition.Table, condition.Part, condition.Key)]
		isPresent := isKnown && !row.Tombstone
		if isPresent {
			found = append(found, row)
		}
		if isPresent != (condition.Version != 0) || (isPresent && row.Version != condition.Version) {
			isMet = false
		}
	}
	if !isMet {
		answerRows(w, http.StatusPreconditionFailed, s.result(found))
		return
	}
	s.version++
	for _, written := range transaction.Writes {
		s.write(written.Table, written.Part, written.Key, written.Value)
	}
	for _, removed := range transaction.Removes {
		s.write(removed.Table, removed.Part, removed.Key, nil)
	}
	s.signal()
	answerRows(w, http.StatusOK, s.result(nil))
}

// handleEntry writes the entry of a backend server, or removes it if the body is empty.
func (s *store) handleEntry(w http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		entry = nil
	}
	s.put(wire.TableServers, r.PathValue("id"), entry)
	w.WriteHeader(http.StatusOK)
}
