// Package lease defines the leases on control shards: which daemon may act for a shard, and
// until when.
//
// Control work is divided into a fixed number of shards. The lease row of a shard changes
// only when the lease is granted or released, so its version serves as the epoch and
// fencing token: every write of the holder is conditional on it, and a holder that was
// paused past its lease cannot change anything. A daemon renews all its leases by one
// renewal row, so the store's load does not grow with the number of shards. Another daemon
// may take over a lease after it has observed the holder's renewal row unchanged for Term
// plus TakeOverMargin on its own clock; clocks are never compared.
package lease

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/catalog"
	"headcourse/core/table"
)

const (
	// Term is how long the holder may act after it sent a renewal.
	Term = 8 * time.Second
	// TakeOverMargin is added to Term by a daemon that takes over, for clocks that run at
	// different speeds.
	TakeOverMargin = 2 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2500 * time.Millisecond
	// OrderMargin is how much of the term must be left to send an order. It covers the
	// maximum time that an order is in transit.
	OrderMargin = 3 * time.Second
	// MaxSendDelay is the maximum time between the decision on an order and its sending.
	MaxSendDelay = time.Second
)

// ShardCount is the number of control shards.
const ShardCount = 16

// ErrExpired means that the holder's lease has expired or may have.
var ErrExpired = errors.New("lease expired")

// Prefixes of row keys in the table.
const (
	KeyPrefix     = catalog.Prefix + "lease/"
	RenewalPrefix = catalog.Prefix + "renewal/"
)

// leaseKeys are the keys of the lease rows.
var leaseKeys = func() (all [ShardCount]string) {
	for shard := range all {
		all[shard] = fmt.Sprintf("%s%02d", KeyPrefix, shard)
	}
	return all
}()

// Key returns the key of a shard's lease row.
func Key(shard int) string {
	return leaseKeys[shard]
}

// RenewalKey returns the key of a daemon's renewal row.
func RenewalKey(daemon string) string {
	return RenewalPrefix + daemon
}

// Grant is the value of a lease row. Holder is empty if the shard is free.
type Grant struct {
	Holder string `json:"holder"`
}

// Renewal is the value of a renewal row. Count makes each renewal differ from the previous
// one.
type Renewal struct {
	Count uint64 `json:"count"`
}

// Lease is the lease on a shard from its holder's view. The zero value is expired.
type Lease struct {
	Shard   int
	Epoch   uint64
	Expires time.Time
}

// IsValid reports whether the lease is valid for at least margin longer.
func (l Lease) IsValid(margin time.Duration) bool {
	return l.Epoch != 0 && time.Until(l.Expires) >= margin
}

// Check returns ErrExpired unless the lease is valid for at least margin longer.
func (l Lease) Check(margin time.Duration) error {
	if !l.IsValid(margin) {
		return errors.Wrapf(ErrExpired, "check lease of shard %d", l.Shard)
	}
	return nil
}

// ForOrder returns the lease as it applies to an order that is decided now. The expiry is
// limited so that the order is sent within MaxSendDelay and has OrderMargin left to arrive.
func (l Lease) ForOrder() Lease {
	if orderExpiry := time.Now().Add(MaxSendDelay + OrderMargin); orderExpiry.Before(l.Expires) {
		l.Expires = orderExpiry
	}
	return l
}

// Fence returns the transaction with the lease's epoch as an additional condition.
func (l Lease) Fence(transaction table.Transaction) table.Transaction {
	return transaction.WithCondition(Key(l.Shard), l.Epoch)
}
