// Package standin is a small stand-in for the users' platform: a store with conditional writes
// and a feed of changes, backend servers that form groups on orders, and clients that check
// their answers. Tests and manual runs connect real daemons to it over loopback sockets.
//
// It uses net/http instead of the HTTP library of the product, so that a fault of one library
// can't go unnoticed on both sides. The stand-in records every run of a request and every
// group membership, and the violations of the users' rules.
package standin

import (
	"cmp"
	"encoding/json"
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

// Fault is how the store answers daemons. Operators and servers reach the store in spite of
// it.
type Fault int

// NoFault answers normally. Unavailable answers 503. Unresponsive accepts calls and never
// answers. LosingAnswers commits writes but does not answer them. DelayingCommits answers
// neither reads nor writes, and commits pending writes when the fault ends, if their
// conditions hold then.
const (
	NoFault Fault = iota
	Unavailable
	Unresponsive
	LosingAnswers
	DelayingCommits
)

// Maximum sizes of answers and transactions, as the platform specifies them.
const (
	// maxPageRows is the number of rows of a table that one answer holds.
	maxPageRows = 500
	// maxTransactionEntries limits the conditions, writes and removes of a transaction
	// together.
	maxTransactionEntries = 100
)

// Store is the platform's store. Use startStore.
type Store struct {
	server     *http.Server
	address    string
	clockStart time.Time
	mutex      sync.Mutex
	rows       map[rowKey]wire.Row
	history    []wire.Row
	// era counts the restores from older copies; version orders the changes within one era.
	// minFeedVersion is the oldest version from which a feed may continue; feeds from older
	// ones are answered with 410.
	era            int64
	version        int64
	minFeedVersion int64
	fault          Fault
	// platformWrites holds the last write of operators and servers to each row;
	// platformWriteCount counts these writes.
	platformWrites     map[rowKey]platformWrite
	platformWriteCount int64
	// unansweredTable is a table whose reads and feeds get no answer; empty means none.
	unansweredTable string
	changed         chan struct{}
}

// rowKey identifies a row.
type rowKey struct {
	table string
	key   string
}

// startStore serves an empty store on a free port of the loopback address.
func startStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s := &Store{
		address:        listener.Addr().String(),
		clockStart:     time.Now(),
		rows:           map[rowKey]wire.Row{},
		platformWrites: map[rowKey]platformWrite{},
		era:            1,
		version:        1,
		changed:        make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRead, s.handleRead)
	mux.HandleFunc("GET "+wire.PathFeed, s.handleFeed)
	mux.HandleFunc("POST "+wire.PathCommit, s.handleCommit)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		// Serve returns an error only after the server is closed.
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the IP:port of the store.
func (s *Store) Address() string {
	return s.address
}

// SetFault changes how the store answers from now on.
func (s *Store) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	s.notifyWaiters()
}

// DropHistory drops the history, so that clients of the feed must read their tables again.
// Feeds are refused until the next write, also from the current version.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.minFeedVersion = s.version + 1
	s.history = nil
	s.notifyWaiters()
}

// notifyWaiters wakes all calls that wait for changes. The mutex is held.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putFromPlatform writes a row as operators and servers do, whatever the fault; a nil value
// removes the row.
func (s *Store) putFromPlatform(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.platformWriteCount++
	s.platformWrites[rowKey{
		table: table,
		key:   key,
	}] = platformWrite{
		value:    value,
		sequence: s.platformWriteCount,
	}
	s.applyPlatformWrite(table, key, value)
}

// applyPlatformWrite applies a recorded write of an operator or a server as a new version. The
// mutex is held.
func (s *Store) applyPlatformWrite(table, key string, value []byte) {
	s.version++
	s.applyChange(table, key, value)
	s.notifyWaiters()
}

// StopAnsweringTable makes the store leave reads and new feeds of one table unanswered; an
// empty name ends this. Feeds that wait already are still answered.
func (s *Store) StopAnsweringTable(table string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unansweredTable = table
}

// Write writes a row as another writer of the platform would, whatever the fault.
func (s *Store) Write(table, key string, value []byte) {
	s.putFromPlatform(table, key, value)
}

// Remove removes a row, whatever the fault.
func (s *Store) Remove(table, key string) {
	s.putFromPlatform(table, key, nil)
}

// applyChange applies one change at the current version and adds it to the history. The mutex
// is held.
func (s *Store) applyChange(table, key string, value []byte) {
	row := wire.Row{
		Table:     table,
		Key:       key,
		Value:     value,
		Version:   s.version,
		Tombstone: value == nil,
	}
	id := rowKey{
		table: table,
		key:   key,
	}
	if row.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
}

// applyFault applies the store's fault to a call. It returns false if the call needs no
// further answer.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	fault := s.fault
	if s.unansweredTable != "" && r.URL.Query().Get("Table") == s.unansweredTable {
		fault = Unresponsive
	}
	s.mutex.Unlock()
	switch {
	case fault == Unavailable:
		s.writeStatus(w, http.StatusServiceUnavailable)
		return false
	case fault == Unresponsive, fault == DelayingCommits && r.Method == http.MethodGet:
		<-r.Context().Done()
		return false
	default:
		return true
	}
}

// result is the body of an answer and the era that it belongs to.
type result struct {
	wire.Result
	era int64
}

// newResult returns a result with the given rows. The mutex is held.
func (s *Store) newResult(rows []wire.Row) result {
	return result{
		Result: wire.Result{
			Rows:    rows,
			Version: s.version,
			NowMs:   float64(time.Since(s.clockStart).Microseconds()) / 1000,
		},
		era: s.era,
	}
}

// writeStatus answers with a status and no body.
func (s *Store) writeStatus(w http.ResponseWriter, status int) {
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	w.Header().Set(wire.HeaderEra, strconv.FormatInt(era, 10))
	w.WriteHeader(status)
}

// writeResult answers with a result.
func writeResult(w http.ResponseWriter, status int, result result) {
	w.Header().Set(wire.HeaderEra, strconv.FormatInt(result.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(result.Result)
}

// handleRead answers with one page of a table.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFault(w, r) {
		return
	}
	query := r.URL.Query()
	s.mutex.Lock()
	rows, hasMore := pageFrom(s.tableRows(query.Get("Table")), query.Get("Source"))
	result := s.newResult(rows)
	s.mutex.Unlock()
	result.HasMore = hasMore
	writeResult(w, http.StatusOK, result)
}

// tableRows returns the rows of a table, ordered by key. The mutex is held.
func (s *Store) tableRows(name string) []wire.Row {
	var rows []wire.Row
	for key, row := range s.rows {
		if key.table == name {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wire.Row) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return rows
}

// Count returns the number of rows of a table whose keys have the prefix.
func (s *Store) Count(table, prefix string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, row := range s.tableRows(table) {
		if strings.HasPrefix(row.Key, prefix) {
			count++
		}
	}
	return count
}

// pageFrom returns the rows of one page, starting at a key, and whether more rows follow.
func pageFrom(rows []wire.Row, from string) ([]wire.Row, bool) {
	start := slices.IndexFunc(rows, func(row wire.Row) bool {
		return row.Key >= from
	})
	if start < 0 {
		return nil, false
	}
	end := min(len(rows), start+maxPageRows)
	return rows[start:end], end < len(rows)
}

// handleFeed answers with the changes of a table since a version, and waits for one up to the
// requested time.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	if !s.applyFault(w, r) {
		return
	}
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
	if err != nil {
		s.writeStatus(w, http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		s.writeStatus(w, http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for hasTimedOut := false; ; {
		s.mutex.Lock()
		isOutOfRange, isAnswering := since < s.minFeedVersion || since > s.version, s.fault == NoFault || s.fault == LosingAnswers
		changes, changed := s.changesSince(query.Get("Table"), since), s.changed
		result := s.newResult(changes)
		s.mutex.Unlock()
		switch {
		case !isAnswering:
			if !s.applyFault(w, r) {
				return
			}
		case isOutOfRange:
			s.writeStatus(w, http.StatusGone)
			return
		case len(changes) > 0 || hasTimedOut:
			writeResult(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			hasTimedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the newest change of each row of a table after a version. The mutex is
// held.
func (s *Store) changesSince(table string, version int64) []wire.Row {
	var changes []wire.Row
	for _, row := range s.history {
		if row.Table != table || row.Version <= version {
			continue
		}
		changes = slices.DeleteFunc(changes, func(older wire.Row) bool {
			return older.Key == row.Key
		})
		changes = append(changes, row)
	}
	return changes
}

// handleCommit carries out a transaction.
func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
	if !s.applyFault(w, r) {
		return
	}
	var transaction wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		s.writeStatus(w, http.StatusBadRequest)
		return
	}
	if len(transaction.Conditions)+len(transaction.Writes)+len(transaction.Removes) > maxTransactionEntries {
		s.writeStatus(w, http.StatusBadRequest)
		return
	}
	isDelayed := s.awaitFaultEnd(DelayingCommits)
	s.mutex.Lock()
	status, result := s.commit(transaction)
	isUnanswered := isDelayed || s.fault == LosingAnswers
	s.mutex.Unlock()
	if isUnanswered {
		<-r.Context().Done()
		return
	}
	writeResult(w, status, result)
}

// awaitFaultEnd waits until the store no longer has the fault, and reports whether it waited.
func (s *Store) awaitFaultEnd(fault Fault) bool {
	for hasWaited := false; ; hasWaited = true {
		s.mutex.Lock()
		changed, isOver := s.changed, s.fault != fault
		s.mutex.Unlock()
		if isOver {
			return hasWaited
		}
		<-changed
	}
}

// commit carries out a transaction if its conditions hold. The mutex is held.
func (s *Store) commit(transaction wire.Transaction) (int, result) {
	var conditionRows []wire.Row
	holds := true
	for _, condition := range transaction.Conditions {
		row := s.rows[rowKey{
			table: condition.Table,
			key:   condition.Key,
		}]
		holds = holds && row.Version == condition.Version
		conditionRows = append(conditionRows, row)
	}
	if !holds {
		return http.StatusPreconditionFailed, s.newResult(conditionRows)
	}
	for _, write := range transaction.Writes {
		if write.Table == wire.TableServers {
			return http.StatusForbidden, s.newResult(nil)
		}
	}
	s.version++
	for _, write := range transaction.Writes {
		s.applyChange(write.Table, write.Key, append([]byte{}, write.Value...))
	}
	for _, remove := range transaction.Removes {
		s.applyChange(remove.Table, remove.Key, nil)
	}
	s.notifyWaiters()
	return http.StatusOK, s.newResult(nil)
}
