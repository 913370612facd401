// Package table defines the interface to the platform's transactional table service: rows with
// versions, and transactions that are applied as a whole or not at all.
//
// If the answer to a write is lost, its outcome is unknown. ResolvingStore wraps a Store so that
// every transaction also writes a marker row, whose key contains the transaction's ID, on condition
// that the marker does not exist. When an answer is lost, ResolvingStore reads the marker, whose
// value states the outcome. If there is none, it writes the marker itself, with the value
// "abandoned"; after that the original transaction can no longer commit. For example, a transaction
// "a1" that writes fleet/group/redactor-7 also writes write/a1. A caller that finds write/a1, not
// abandoned, knows that the other row was written as well.
package table

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Errors of a Store. On a commit, any other error counts as ErrUnknown.
var (
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("transaction conflict")
	// ErrUnavailable reports that the service refused the call or was not reached; nothing was
	// written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown reports that the answer was lost; the transaction may have been written, or may be
	// written later.
	ErrUnknown = errors.New("transaction outcome unknown")
	// ErrAbandoned reports that the answer was lost and the transaction was then prevented from
	// committing; nothing was written.
	ErrAbandoned = errors.New("transaction abandoned")
)

// MarkerPrefix is the prefix of the keys of marker rows that ResolvingStore writes.
const MarkerPrefix = "write/"

// Row is one row at one version. Version is the number of the commit that wrote it. It increases
// over the whole table and is never used for another commit.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Decode decodes the row's JSON value into target. Errors name the key.
func (r Row) Decode(target any) error {
	err := json.Unmarshal(r.Value, target)
	return errors.Wrapf(err, "decode row %q", r.Key)
}

// Condition requires that the row has exactly this version. Version 0 means that the row must be
// absent or deleted.
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

// Put returns a write that stores value as JSON. It panics if value cannot be encoded, which is a
// programming error.
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

// Transaction is a set of writes that are applied together if all conditions hold.
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

// ScanRequest requests the rows under a prefix that changed after a version, in ascending order of
// version, including deleted rows. Limit is the maximum number of rows, 0 for no limit; it is
// exceeded to return all rows of the last commit.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	Limit  int    `json:"limit"`
}

// ScanResult holds the rows found. Version is the version after which the next scan continues: that
// of the table, or that of the last row if the limit cut off rows. HasMore is set in that case.
type ScanResult struct {
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"version"`
	HasMore bool   `json:"more"`
}

// Store is the table service. Commit returns the commit's version.
type Store interface {
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
	Read(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, request ScanRequest) (ScanResult, error)
}

// ----------------------------------------------------------------------------
// Resolving lost answers

// ResolvingStore wraps a Store and resolves the outcome of a commit whose answer was lost. The
// marker of a transaction that is known to have committed is no longer needed, and is deleted
// together with a later transaction. Other markers remain until Sweep deletes them: the marker of
// an abandoned transaction prevents it from committing if it arrives later.
type ResolvingStore struct {
	Store

	mutex       sync.Mutex
	usedMarkers []string
}

// maxMarkersPerCommit limits how many markers are deleted with one transaction.
const maxMarkersPerCommit = 16

// takeUsedMarkers removes and returns markers to delete with the next transaction.
func (s *ResolvingStore) takeUsedMarkers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := min(len(s.usedMarkers), maxMarkersPerCommit)
	markers := append([]string(nil), s.usedMarkers[:count]...)
	s.usedMarkers = s.usedMarkers[count:]
	return markers
}

// addUsedMarkers adds markers to delete.
func (s *ResolvingStore) addUsedMarkers(markers ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.usedMarkers = append(s.usedMarkers, markers...)
}

// Commit commits a transaction and resolves its outcome if the answer is lost. It returns
// ErrUnknown only if ctx ends before the outcome is resolved.
func (s *ResolvingStore) Commit(ctx context.Context, transaction Transaction) (uint64, error) {
	marked, marker := WithMarker(transaction)
	usedMarkers := s.takeUsedMarkers()
	for _, usedMarker := range usedMarkers {
		marked = marked.WithWrite(Write{
			Key:    usedMarker,
			Delete: true,
		})
	}
	version, err := s.Store.Commit(ctx, marked)
	if !IsOutcomeKnown(err) {
		version, err = s.resolve(ctx, marker)
	}
	if err == nil {
		s.addUsedMarkers(marker)
	} else {
		s.addUsedMarkers(usedMarkers...)
	}
	return version, err
}

// WithMarker returns the transaction with its marker row, and the marker's key.
func WithMarker(transaction Transaction) (marked Transaction, marker string) {
	if transaction.ID == "" {
		transaction.ID = uuid.NewString()
	}
	marker = MarkerPrefix + transaction.ID
	marked = transaction.WithCondition(marker, 0)
	marked = marked.WithWrite(Put(marker, markerValue{
		State: markerCommitted,
		At:    time.Now(),
	}))
	return marked, marker
}

// resolve resolves the outcome of a transaction whose answer was lost, by its marker row.
func (s *ResolvingStore) resolve(ctx context.Context, marker string) (uint64, error) {
	for ctx.Err() == nil {
		version, err := s.ResolveOnce(ctx, marker)
		if IsOutcomeKnown(err) {
			return version, err
		}
		if waitErr := waitResolveInterval(ctx); waitErr != nil {
			break
		}
	}
	return 0, errors.Wrapf(ErrUnknown, "resolve outcome of %q at the table service", marker)
}

// ResolveOnce reads the marker, and writes it as abandoned if it is absent. It returns the version
// of a committed transaction and ErrAbandoned for an abandoned one. Any other error, such as
// ErrUnknown, means that the outcome remains unknown.
func (s *ResolvingStore) ResolveOnce(ctx context.Context, marker string) (uint64, error) {
	row, err := s.Read(ctx, marker)
	if err != nil {
		return 0, ErrUnknown
	}
	if row.Version != 0 && !row.Deleted {
		return readMarker(row)
	}
	abandonment := Transaction{
		ID: uuid.NewString(),
	}
	abandonment = abandonment.WithCondition(marker, 0)
	abandonment = abandonment.WithWrite(Put(marker, markerValue{
		State: markerAbandoned,
		At:    time.Now(),
	}))
	if _, err = s.Store.Commit(ctx, abandonment); err == nil {
		return 0, ErrAbandoned
	}
	return 0, ErrUnknown
}

// States of a marker row.
const (
	markerCommitted = "landed"
	markerAbandoned = "abandoned"
)

// markerValue is the value of a marker row.
type markerValue struct {
	State string    `json:"state"`
	At    time.Time `json:"at"`
}

// readMarker returns the outcome of a transaction from its marker row: its version, or
// ErrAbandoned.
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

// IsOutcomeKnown reports whether err shows with certainty if the writes were committed.
func IsOutcomeKnown(err error) bool {
	return err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAbandoned)
}

// ----------------------------------------------------------------------------
// Deleting old rows

const (
	// MarkerRetention is how long a marker that its writer did not delete is kept. It is far
	// longer than a transaction can take to arrive.
	MarkerRetention = time.Hour
	maxRowsPerSweep = 400
)

// Sweep deletes rows under a prefix for which isOld returns true, the oldest first, on condition
// that they did not change. It scans the oldest maxRowsPerSweep rows and returns the number of
// deleted rows. If the transaction fails, that is the number of rows that it would have deleted.
func Sweep(ctx context.Context, store Store, prefix string, isOld func(Row) bool) (int, error) {
	found, err := store.Scan(ctx, ScanRequest{
		Prefix: prefix,
		Limit:  maxRowsPerSweep,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "sweep %q", prefix)
	}
	deletion := Transaction{}
	for _, row := range found.Rows {
		if !row.Deleted && isOld(row) {
			deletion = deletion.WithCondition(row.Key, row.Version)
			deletion = deletion.WithWrite(Write{
				Key:    row.Key,
				Delete: true,
			})
		}
	}
	if len(deletion.Writes) == 0 {
		return 0, nil
	}
	_, err = store.Commit(ctx, deletion)
	return len(deletion.Writes), errors.Wrapf(err, "sweep %q", prefix)
}

// IsExpiredMarker reports whether a row under MarkerPrefix is older than MarkerRetention. It is
// false for a row that cannot be decoded.
func IsExpiredMarker(row Row) bool {
	var value markerValue
	return row.Decode(&value) == nil && time.Since(value.At) > MarkerRetention
}
