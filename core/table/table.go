// Package table states what headcourse asks of the platform's transactional
// table service: rows with versions, and transactions that either hold
// entirely or change nothing.
//
// A write whose answer was lost is neither done nor failed. Settling wraps a
// store so that every transaction carries a marker row named after the
// transaction's own identifier. When an answer is lost, Settling tries to
// write that marker itself: if it succeeds the original can never land any
// more, and if it is refused the original has landed. For example, a
// transaction "a1" that wrote group/redactor-7 also wrote write/a1; whoever
// finds write/a1 in place knows the rest is in place too.
package table

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Errors of a Store. Any other error is treated like ErrUnknown on a commit.
var (
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("transaction conflict")
	// ErrUnavailable reports that the service refused or was not reached;
	// nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown reports that the answer was lost; the transaction may have
	// been written, or may be written later.
	ErrUnknown = errors.New("transaction outcome unknown")
	// ErrAbandoned reports that the answer was lost and the transaction was
	// then prevented from ever landing; nothing was written.
	ErrAbandoned = errors.New("transaction abandoned")
)

// MarkerPrefix begins the key of every marker row that Settling writes.
const MarkerPrefix = "write/"

// Row is one row at one version. Version is the commit number that wrote it;
// it rises over the whole table and is never used again for another commit.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Decode reads the row's JSON value into target, and names the key on errors.
func (r Row) Decode(target any) error {
	err := json.Unmarshal(r.Value, target)
	return errors.Wrapf(err, "decode row %q", r.Key)
}

// Condition holds while the row is at exactly this version. Version 0 means
// that the row must be absent or deleted.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets one row, or deletes it.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Put returns the write that stores value as JSON. It panics on a value that
// JSON cannot hold, which is a programming error.
func Put(key string, value any) Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrapf(err, "encode row %q", key))
	}
	return Write{
		Key:   key,
		Value: encoded,
	}
}

// Transaction is a set of writes that hold together if all conditions do.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// WithCondition returns the transaction with one more condition.
func (t Transaction) WithCondition(key string, version uint64) Transaction {
	t.Conditions = append(t.Conditions[:len(t.Conditions):len(t.Conditions)], Condition{
		Key:     key,
		Version: version,
	})
	return t
}

// WithWrite returns the transaction with one more write.
func (t Transaction) WithWrite(write Write) Transaction {
	t.Writes = append(t.Writes[:len(t.Writes):len(t.Writes)], write)
	return t
}

// ScanRequest asks for rows under a prefix that changed after a version, in
// rising order of version, deletions included.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	Limit  int    `json:"limit"`
}

// ScanResult holds the rows found. Version is what the table had reached when
// it answered; More tells that the limit cut the rows short.
type ScanResult struct {
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"version"`
	More    bool   `json:"more"`
}

// Store is the table service. Commit returns the commit's version.
type Store interface {
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
	Read(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, request ScanRequest) (ScanResult, error)
}

// ----------------------------------------------------------------------------
// Settling

// Settling makes a lost answer a known one. It wraps another Store. A marker
// whose transaction is known to have landed has done its work; it is deleted
// together with a later transaction.
type Settling struct {
	Store

	mutex sync.Mutex
	spent []string
}

// maxSpent bounds the markers deleted with one transaction.
const maxSpent = 16

// takeSpent returns markers to be deleted with the next transaction.
func (s *Settling) takeSpent() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := min(len(s.spent), maxSpent)
	taken := append([]string(nil), s.spent[:count]...)
	s.spent = s.spent[count:]
	return taken
}

// addSpent adds markers to be deleted.
func (s *Settling) addSpent(markers ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.spent = append(s.spent, markers...)
}

// Commit commits and, when the answer is lost, settles it. It returns
// ErrUnknown only when ctx ended before the outcome could be settled.
func (s *Settling) Commit(ctx context.Context, transaction Transaction) (uint64, error) {
	marked, marker := Mark(transaction)
	spent := s.takeSpent()
	for _, old := range spent {
		marked = marked.WithWrite(Write{
			Key:    old,
			Delete: true,
		})
	}
	version, err := s.Store.Commit(ctx, marked)
	if !IsCertain(err) {
		version, err = s.settle(ctx, marker)
	}
	if err == nil {
		s.addSpent(marker)
	} else {
		s.addSpent(spent...)
	}
	return version, err
}

// Mark returns the transaction with its marker row, and the marker's key.
func Mark(transaction Transaction) (marked Transaction, marker string) {
	if transaction.ID == "" {
		transaction.ID = uuid.NewString()
	}
	marker = MarkerPrefix + transaction.ID
	marked = transaction.WithCondition(marker, 0)
	marked = marked.WithWrite(Put(marker, markerValue{
		State: markerLanded,
		At:    time.Now(),
	}))
	return marked, marker
}

// settle decides a transaction whose answer was lost, by its marker row.
func (s *Settling) settle(ctx context.Context, marker string) (uint64, error) {
	for ctx.Err() == nil {
		version, err := s.SettleOnce(ctx, marker)
		if IsCertain(err) {
			return version, err
		}
		if waitErr := pauseBeforeSettling(ctx); waitErr != nil {
			break
		}
	}
	return 0, errors.Wrapf(ErrUnknown, "settle %q at the table service", marker)
}

// SettleOnce reads the marker and, where it is absent, occupies it. It returns
// ErrUnknown where the store did not say enough.
func (s *Settling) SettleOnce(ctx context.Context, marker string) (uint64, error) {
	row, err := s.Read(ctx, marker)
	if err != nil {
		return 0, ErrUnknown
	}
	if row.Version != 0 && !row.Deleted {
		return readMarker(row)
	}
	abandon := Transaction{
		ID: uuid.NewString(),
	}
	abandon = abandon.WithCondition(marker, 0)
	abandon = abandon.WithWrite(Put(marker, markerValue{
		State: markerAbandoned,
		At:    time.Now(),
	}))
	if _, err = s.Store.Commit(ctx, abandon); err == nil {
		return 0, ErrAbandoned
	}
	return 0, ErrUnknown
}

// States of a marker row.
const (
	markerLanded    = "landed"
	markerAbandoned = "abandoned"
)

// markerValue is the value of a marker row.
type markerValue struct {
	State string    `json:"state"`
	At    time.Time `json:"at"`
}

// readMarker turns a marker row into the outcome of its transaction.
func readMarker(row Row) (uint64, error) {
	var value markerValue
	if err := row.Decode(&value); err != nil {
		return 0, err
	}
	if value.State == markerAbandoned {
		return 0, ErrAbandoned
	}
	return row.Version, nil
}

// IsCertain tells whether err says for sure whether the writes landed.
func IsCertain(err error) bool {
	return err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAbandoned)
}

// ----------------------------------------------------------------------------
// Sweeping

// Figures of sweeping.
const (
	// MarkerKept is how long a marker is kept that its writer did not delete. It
	// is far above the time that a transaction can be on its way.
	MarkerKept = time.Hour
	sweepLimit = 400
)

// Sweep deletes old rows under a prefix, the oldest first, at most sweepLimit at
// a time, each on condition that it did not change; isOld tells which. It
// returns how many were deleted.
func Sweep(ctx context.Context, store Store, prefix string, isOld func(Row) bool) (int, error) {
	found, err := store.Scan(ctx, ScanRequest{
		Prefix: prefix,
		Limit:  sweepLimit,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "sweep %q", prefix)
	}
	sweep := Transaction{}
	for _, row := range found.Rows {
		if !row.Deleted && isOld(row) {
			sweep = sweep.WithCondition(row.Key, row.Version)
			sweep = sweep.WithWrite(Write{
				Key:    row.Key,
				Delete: true,
			})
		}
	}
	if len(sweep.Writes) == 0 {
		return 0, nil
	}
	_, err = store.Commit(ctx, sweep)
	return len(sweep.Writes), errors.Wrapf(err, "sweep %q", prefix)
}

// IsOldMarker tells whether a row is a marker that nobody needs any more.
func IsOldMarker(row Row) bool {
	var value markerValue
	return row.Decode(&value) == nil && time.Since(value.At) > MarkerKept
}
