// Package idempotency ensures that a caller's request with an idempotency key runs
// at most once, no matter how often and to which daemons it is sent.
//
// Before a daemon sends such a request to a backend server, it claims the key in
// the table, by a conditional transaction that succeeds for one daemon only. The
// claim row later stores the answer, or records that the outcome is unknown. The
// claims of many requests share one transaction (Batcher) to limit the load on the
// store. While the store is unavailable, requests with a key are refused as not run.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/outcome"
	"headcourse/core/table"
)

// RowKeyPrefix is the prefix of the keys of claim rows.
const RowKeyPrefix = "key/"

// State is the state of a claimed request.
type State string

// The states of a claimed request.
const (
	Running State = "running"
	Done    State = "done"
	// OutcomeUnknown means that the request may have run and that its answer is unknown.
	OutcomeUnknown State = "lost"
)

// Claim is the value of a claim row.
type Claim struct {
	State    State  `json:"state"`
	BodyHash string `json:"body_hash"`
	// Daemon is the ID of the daemon that claimed the key, Request the ID of the
	// request.
	Daemon  string    `json:"daemon"`
	Request string    `json:"request"`
	Expires time.Time `json:"expires"`
	Answer  Answer    `json:"answer,omitzero"`
}

// Answer is the stored answer of a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// MaxStoredBody is the maximum size, in bytes, of the body of a stored answer.
const MaxStoredBody = 64 << 10

// ClaimName identifies a claim. The same key of another organisation or route is another
// claim.
type ClaimName struct {
	Organisation string
	Route        string
	Key          string
}

// RowKey returns the key of the claim row.
func (n ClaimName) RowKey() string {
	sum := sha256.Sum256([]byte(n.Route + "\x00" + n.Key))
	return RowKeyPrefix + n.Organisation + "/" + hex.EncodeToString(sum[:])
}

// HashBody returns the hash of a request body that claims are compared by.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Resolve returns the result of a request whose key is claimed already: the stored
// answer, or a refusal. isAlive reports whether a daemon is in the roster.
func (c Claim) Resolve(bodyHash string, isAlive func(daemon string) bool) (Answer, *outcome.Failure) {
	switch {
	case c.BodyHash != bodyHash:
		return Answer{}, outcome.NotRunFailure(outcome.ReasonKeyReused, "claim idempotency key")
	case c.State == Done:
		return c.Answer, nil
	case c.State == Running && isAlive(c.Daemon):
		return Answer{}, unknownOutcome(outcome.ReasonKeyInProgress)
	default:
		return Answer{}, unknownOutcome(outcome.ReasonKeyOutcomeUnknown)
	}
}

// unknownOutcome returns the failure of a request that this attempt did not run, but
// that an earlier attempt with its key may have run or may be running.
func unknownOutcome(reason outcome.Reason) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  reason,
		Step:    "claim idempotency key",
	}
}

// Claimer claims idempotency keys in a store. Store must resolve lost answers
// (table.ResolvingStore).
type Claimer struct {
	Store table.Store
	// Commit commits one transaction, possibly in a batch.
	Commit  func(ctx context.Context, transaction table.Transaction) (uint64, error)
	IsAlive func(daemon string) bool
}

// ActiveClaim is a claim that this daemon has made.
type ActiveClaim struct {
	key     string
	version uint64
	claim   Claim
}

// Claim claims a key. It returns either the claim made, or the stored answer of an
// earlier request, or a refusal.
func (c *Claimer) Claim(ctx context.Context, name ClaimName, claim Claim) (*ActiveClaim, *Answer, *outcome.Failure) {
	key := name.RowKey()
	version := uint64(0)
	for {
		row, err := c.Store.Read(ctx, key)
		if err != nil {
			return nil, nil, storeUnavailable(err)
		}
		if row.Version != 0 && !row.Deleted {
			var existing Claim
			if err = row.Decode(&existing); err != nil {
				return nil, nil, storeUnavailable(err)
			}
			if time.Now().Before(existing.Expires) {
				answer, refusal := existing.Resolve(claim.BodyHash, c.IsAlive)
				if refusal != nil {
					return nil, nil, refusal
				}
				return nil, &answer, nil
			}
			version = row.Version
		}
		insert := table.Transaction{}
		insert = insert.WithCondition(key, version)
		insert = insert.WithWrite(table.Put(key, claim))
		committed, err := c.Commit(ctx, insert)
		if err == nil {
			return &ActiveClaim{
				key:     key,
				version: committed,
				claim:   claim,
			}, nil, nil
		}
		if !errors.Is(err, table.ErrConflict) || ctx.Err() != nil {
			return nil, nil, storeUnavailable(err)
		}
	}
}

// storeUnavailable returns the refusal of a request whose key could not be claimed.
// The request was not sent to a backend server, so it did not run.
func storeUnavailable(err error) *outcome.Failure {
	refusal := outcome.NotRunFailure(outcome.ReasonIdempotencyStoreUnavailable, "claim idempotency key")
	refusal.Peer = "table service"
	refusal.Cause = err
	return refusal
}

// Complete stores the answer of a request that ran. An answer larger than MaxStoredBody is
// not stored; the claim becomes OutcomeUnknown.
func (c *Claimer) Complete(ctx context.Context, held *ActiveClaim, answer Answer) error {
	claim := held.claim
	claim.State = Done
	claim.Answer = answer
	if len(answer.Body) > MaxStoredBody {
		claim.State = OutcomeUnknown
		claim.Answer = Answer{}
	}
	return c.write(ctx, held, table.Put(held.key, claim))
}

// MarkUnknown records that the outcome of a request is unknown.
func (c *Claimer) MarkUnknown(ctx context.Context, held *ActiveClaim) error {
	claim := held.claim
	claim.State = OutcomeUnknown
	return c.write(ctx, held, table.Put(held.key, claim))
}

// Release releases the claim of a request that did not run.
func (c *Claimer) Release(ctx context.Context, held *ActiveClaim) error {
	return c.write(ctx, held, table.Write{
		Key:    held.key,
		Delete: true,
	})
}

// write changes the claim row if it is still as it was when it was claimed.
func (c *Claimer) write(ctx context.Context, held *ActiveClaim, write table.Write) error {
	change := table.Transaction{}
	change = change.WithCondition(held.key, held.version)
	change = change.WithWrite(write)
	_, err := c.Commit(ctx, change)
	return errors.Wrapf(err, "write claim %q at the table service", held.key)
}

// IsExpired reports whether the retention time of a claim row is over.
func IsExpired(row table.Row) bool {
	var claim Claim
	return row.Decode(&claim) == nil && time.Now().After(claim.Expires)
}
