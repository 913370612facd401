// Package standin is a small stand-in of the users' platform: its store with
// rows under conditions and a feed, backend servers that form groups under
// orders, and clients that check what they are answered. Real daemons run
// against it over loopback sockets, in tests and by hand.
//
// It speaks HTTP by net/http, not by the library that the product uses, so that
// a mistake of one library does not hide on both sides. A ledger notes every run
// of a request and every membership, and what must never happen.
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

// Fault is how the store behaves to callers; operators and servers always reach
// it.
type Fault int

// The faults of the store: Well has none; Refusing answers 503; Silent takes
// calls and says nothing; Lossy does writes and does not answer; Late says nothing either,
// and does writes once the fault is over, if their conditions hold then.
const (
	Well Fault = iota
	Refusing
	Silent
	Lossy
	Late
)

// Bounds of calls, as the platform's pages say.
const (
	// pageRows is how many rows of a table one answer holds.
	pageRows = 500
	// maxEntries is how many conditions, writes and removes a transaction may have
	// together.
	maxEntries = 100
)

// Store is the platform's store. Use startStore.
type Store struct {
	server  *http.Server
	address string
	started time.Time
	mutex   sync.Mutex
	rows    map[rowKey]wire.Row
	history []wire.Row
	// era counts the restores from older copies; version orders changes within one era.
	era     int64
	version int64
	floor   int64
	fault   Fault
	// own are the last writes of operators and servers, ownWrites counts them.
	own       map[rowKey]ownWrite
	ownWrites int64
	// silent is a table about which nothing is answered; empty: none.
	silent  string
	changed chan struct{}
}

// rowKey names a row.
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
		address: listener.Addr().String(),
		started: time.Now(),
		rows:    map[rowKey]wire.Row{},
		own:     map[rowKey]ownWrite{},
		era:     1,
		version: 1,
		changed: make(chan struct{}),
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
		// Serve ends with an error only when the server is closed.
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the IP:port of the store.
func (s *Store) Address() string {
	return s.address
}

// SetFault changes how the store behaves from now on.
func (s *Store) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	s.wake()
}

// Forget drops the history, so that whoever follows must read anew.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.floor = s.version + 1
	s.history = nil
	s.wake()
}

// wake wakes all who follow. The mutex is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row from inside, as operators and servers do; a nil value removes
// it.
func (s *Store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ownWrites++
	s.own[rowKey{
		table: table,
		key:   key,
	}] = ownWrite{
		value:  value,
		number: s.ownWrites,
	}
	s.putAgain(table, key, value)
}

// putAgain writes a row that operators or servers have written before. The mutex is held.
func (s *Store) putAgain(table, key string, value []byte) {
	s.version++
	s.apply(table, key, value)
	s.wake()
}

// SilenceTable has the store answer nothing about one table.
func (s *Store) SilenceTable(table string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = table
}

// Write writes a row from inside, as another writer would, whatever the fault.
func (s *Store) Write(table, key string, value []byte) {
	s.put(table, key, value)
}

// Remove removes a row from inside, whatever the fault.
func (s *Store) Remove(table, key string) {
	s.put(table, key, nil)
}

// apply makes one change at the current version. The mutex is held.
func (s *Store) apply(table, key string, value []byte) {
	row := wire.Row{
		Table:     table,
		Key:       key,
		Value:     value,
		Version:   s.version,
		Tombstone: value == nil,
	}
	at := rowKey{
		table: table,
		key:   key,
	}
	if row.Tombstone {
		delete(s.rows, at)
	} else {
		s.rows[at] = row
	}
	s.history = append(s.history, row)
}

// enter applies the fault to a call; it returns false when the call is over.
func (s *Store) enter(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	fault := s.fault
	if s.silent != "" && r.URL.Query().Get("Table") == s.silent {
		fault = Silent
	}
	s.mutex.Unlock()
	switch {
	case fault == Refusing:
		s.refuse(w, http.StatusServiceUnavailable)
		return false
	case fault == Silent, fault == Late && r.Method == http.MethodGet:
		<-r.Context().Done()
		return false
	default:
		return true
	}
}

// result is an answer and the era that it is of.
type result struct {
	wire.Result
	era int64
}

// result returns a result with some rows. The mutex is held.
func (s *Store) result(rows []wire.Row) result {
	return result{
		Result: wire.Result{
			Rows:    rows,
			Version: s.version,
			NowMs:   float64(time.Since(s.started).Microseconds()) / 1000,
		},
		era: s.era,
	}
}

// refuse answers with a status alone.
func (s *Store) refuse(w http.ResponseWriter, status int) {
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	w.Header().Set(wire.HeaderEra, strconv.FormatInt(era, 10))
	w.WriteHeader(status)
}

// answer writes a result.
func answer(w http.ResponseWriter, status int, result result) {
	w.Header().Set(wire.HeaderEra, strconv.FormatInt(result.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Whoever went away gets nothing.
	_ = json.NewEncoder(w).Encode(result.Result)
}

// handleRead returns a table.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	query := r.URL.Query()
	s.mutex.Lock()
	rows, hasMore := page(s.table(query.Get("Table")), query.Get("Source"))
	result := s.result(rows)
	s.mutex.Unlock()
	result.HasMore = hasMore
	answer(w, http.StatusOK, result)
}

// table returns the rows of a table, ordered by key. The mutex is held.
func (s *Store) table(name string) []wire.Row {
	var rows []wire.Row
	for at, row := range s.rows {
		if at.table == name {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wire.Row) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return rows
}

// Count returns how many rows of a table have keys that begin so.
func (s *Store) Count(table, prefix string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, row := range s.table(table) {
		if strings.HasPrefix(row.Key, prefix) {
			count++
		}
	}
	return count
}

// page returns the rows of one answer, from a key on as many as it may hold, and
// whether there are more after them.
func page(rows []wire.Row, from string) ([]wire.Row, bool) {
	start := slices.IndexFunc(rows, func(row wire.Row) bool {
		return row.Key >= from
	})
	if start < 0 {
		return nil, false
	}
	end := min(len(rows), start+pageRows)
	return rows[start:end], end < len(rows)
}

// handleFeed returns changes.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
	if err != nil {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for isLast := false; ; {
		s.mutex.Lock()
		isGone, isWell := since < s.floor || since > s.version, s.fault == Well || s.fault == Lossy
		news, changed := s.since(query.Get("Table"), since), s.changed
		result := s.result(news)
		s.mutex.Unlock()
		switch {
		case !isWell:
			if !s.enter(w, r) {
				return
			}
		case isGone:
			s.refuse(w, http.StatusGone)
			return
		case len(news) > 0 || isLast:
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the newest change of each row of a table. The mutex is held.
func (s *Store) since(table string, since int64) []wire.Row {
	var news []wire.Row
	for _, row := range s.history {
		if row.Table != table || row.Version <= since {
			continue
		}
		news = slices.DeleteFunc(news, func(older wire.Row) bool {
			return older.Key == row.Key
		})
		news = append(news, row)
	}
	return news
}

// handleCommit does a transaction.
func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	var transaction wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	if len(transaction.Conditions)+len(transaction.Writes)+len(transaction.Removes) > maxEntries {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	isLate := s.awaitFault(Late)
	s.mutex.Lock()
	status, result := s.commit(transaction)
	isLost := isLate || s.fault == Lossy
	s.mutex.Unlock()
	if isLost {
		<-r.Context().Done()
		return
	}
	answer(w, status, result)
}

// awaitFault waits while the store has a fault, and tells whether it had to.
func (s *Store) awaitFault(fault Fault) bool {
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

// commit does a transaction if its conditions hold. The mutex is held.
func (s *Store) commit(transaction wire.Transaction) (int, result) {
	var found []wire.Row
	holds := true
	for _, condition := range transaction.Conditions {
		row := s.rows[rowKey{
			table: condition.Table,
			key:   condition.Key,
		}]
		holds = holds && row.Version == condition.Version
		found = append(found, row)
	}
	if !holds {
		return http.StatusPreconditionFailed, s.result(found)
	}
	for _, write := range transaction.Writes {
		if write.Table == wire.TableServers {
			return http.StatusForbidden, s.result(nil)
		}
	}
	s.version++
	for _, write := range transaction.Writes {
		s.apply(write.Table, write.Key, append([]byte{}, write.Value...))
	}
	for _, remove := range transaction.Removes {
		s.apply(remove.Table, remove.Key, nil)
	}
	s.wake()
	return http.StatusOK, s.result(nil)
}
