// Package lease decides which daemon may act for a shard of control, and until
// when.
//
// Control work is cut into a fixed number of shards. A shard's lease row in
// the table changes only when the lease is granted to another daemon, so its
// version is the epoch: every write of the holder is conditional on it, and a
// holder that was paused past its lease changes nothing. Renewals go to one
// row for each daemon, whatever number of leases it holds, so the store's load
// does not grow with shards. A lease is taken over by a daemon that has seen
// the holder's renewal row unchanged for Term plus Margin on its own clock; no
// clock is compared with another.
package lease

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/catalog"
	"headcourse/core/table"
)

// Times of a lease.
const (
	// Term is how long the holder may act after it sent a renewal.
	Term = 8 * time.Second
	// Margin is added by whoever takes over, for clocks that run at different
	// speeds.
	Margin = 2 * time.Second
	// RenewEvery is the time between two renewals.
	RenewEvery = 2500 * time.Millisecond
	// OrderMargin is how much of the term must be left to send an order; it
	// covers the longest time that an order travels.
	OrderMargin = 3 * time.Second
	// SendWithin is how soon after it was decided an order must be sent.
	SendWithin = time.Second
)

// Shards is the number of shards that control work is cut into.
const Shards = 16

// ErrLapsed reports that the holder's lease may have ended.
var ErrLapsed = errors.New("lease lapsed")

// Keys of the rows in the table.
const (
	KeyPrefix     = catalog.Prefix + "lease/"
	RenewalPrefix = catalog.Prefix + "renewal/"
)

// keys are the keys of the lease rows.
var keys = func() (all [Shards]string) {
	for shard := range all {
		all[shard] = fmt.Sprintf("%s%02d", KeyPrefix, shard)
	}
	return all
}()

// Key returns the key of a shard's lease row.
func Key(shard int) string {
	return keys[shard]
}

// RenewalKey returns the key of a daemon's renewal row.
func RenewalKey(daemon string) string {
	return RenewalPrefix + daemon
}

// Grant is the value of a lease row.
type Grant struct {
	Holder string `json:"holder"`
}

// Renewal is the value of a renewal row. Count makes each one differ.
type Renewal struct {
	Count uint64 `json:"count"`
}

// Held is a lease as its holder has it. The zero value is not held.
type Held struct {
	Shard   int
	Epoch   uint64
	Expires time.Time
}

// Holds tells whether the lease holds for at least margin longer.
func (h Held) Holds(margin time.Duration) bool {
	return h.Epoch != 0 && time.Until(h.Expires) >= margin
}

// Check returns ErrLapsed unless the lease holds for at least margin longer.
func (h Held) Check(margin time.Duration) error {
	if !h.Holds(margin) {
		return errors.Wrapf(ErrLapsed, "check lease of shard %d", h.Shard)
	}
	return nil
}

// WithOrder returns the lease as an order that is decided now may use it: only
// for as long as it takes to send the order soon and for it to arrive.
func (h Held) WithOrder() Held {
	if limit := time.Now().Add(SendWithin + OrderMargin); limit.Before(h.Expires) {
		h.Expires = limit
	}
	return h
}

// Fence returns the transaction made conditional on the lease's epoch.
func (h Held) Fence(transaction table.Transaction) table.Transaction {
	return transaction.WithCondition(Key(h.Shard), h.Epoch)
}
