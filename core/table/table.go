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

// Settling makes a lost answer a known one. It wraps another Store.
type Settling struct {
	Store
}

// Commit commits and, when the answer is lost, settles it. It returns
// ErrUnknown only when ctx ended before the outcome could be settled.
func (s Settling) Commit(ctx context.Context, transaction Transaction) (uint64, error) {
	marked, marker := Mark(transaction)
	version, err := s.Store.Commit(ctx, marked)
	if IsCertain(err) {
		return version, err
	}
	return s.settle(ctx, marker)
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
	}))
	return marked, marker
}

// settle decides a transaction whose answer was lost, by its marker row.
func (s Settling) settle(ctx context.Context, marker string) (uint64, error) {
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
func (s Settling) SettleOnce(ctx context.Context, marker string) (uint64, error) {
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
	State string `json:"state"`
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
