// Package idempotency makes a caller's request run at most once, whichever
// daemons it is sent to and however often.
//
// A request with an Idempotency-Key is claimed in the table before it is sent
// to a backend server, by a transaction that only the first can win. Its claim
// row then keeps the answer, or says that none is known. Claims of many
// requests share one transaction (Batcher), for the store's sake; while the
// store is down such requests are refused as not run.
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

// KeyPrefix begins the key of every claim row.
const KeyPrefix = "key/"

// State is where a claimed request is.
type State string

// The states.
const (
	Running State = "running"
	Done    State = "done"
	// Lost says that the request may have run and its answer is not known.
	Lost State = "lost"
)

// Claim is the value of a claim row.
type Claim struct {
	State    State  `json:"state"`
	BodyHash string `json:"body_hash"`
	// Daemon is who claimed it, Request under which request id.
	Daemon  string    `json:"daemon"`
	Request string    `json:"request"`
	Expires time.Time `json:"expires"`
	Answer  Answer    `json:"answer,omitzero"`
}

// Answer is a whole answer as it is kept.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// MaxKept is the size up to which an answer is kept, in bytes.
const MaxKept = 64 << 10

// Name is what a claim is for. Keys of one organisation and route do not meet
// those of others.
type Name struct {
	Organisation string
	Route        string
	Key          string
}

// RowKey returns the key of the claim row.
func (n Name) RowKey() string {
	sum := sha256.Sum256([]byte(n.Route + "\x00" + n.Key))
	return KeyPrefix + n.Organisation + "/" + hex.EncodeToString(sum[:])
}

// HashBody returns the hash by which bodies are compared.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Judge says what a request meets that finds a claim in place: the answer that
// is kept, or a refusal. isAlive tells whether a daemon is in the roster.
func (c Claim) Judge(bodyHash string, isAlive func(daemon string) bool) (Answer, *outcome.Failure) {
	switch {
	case c.BodyHash != bodyHash:
		return Answer{}, outcome.Refuse(outcome.ReasonKeyReused, "claim idempotency key")
	case c.State == Done:
		return c.Answer, nil
	case c.State == Running && isAlive(c.Daemon):
		return Answer{}, mayRun(outcome.ReasonKeyInProgress)
	default:
		return Answer{}, mayRun(outcome.ReasonKeyOutcomeUnknown)
	}
}

// mayRun returns the failure of a request that this attempt did not run, but
// that an earlier one with its key may have run or be running.
func mayRun(reason outcome.Reason) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  reason,
		Step:    "claim idempotency key",
	}
}

// Keeper claims keys in a store. Store must settle lost answers.
type Keeper struct {
	Store table.Store
	// Commit commits one transaction, perhaps together with others.
	Commit  func(ctx context.Context, transaction table.Transaction) (uint64, error)
	IsAlive func(daemon string) bool
}

// Held is a claim that was won.
type Held struct {
	key     string
	version uint64
	claim   Claim
}

// Take claims a name. It returns the claim won; or the answer that is kept of
// an earlier request; or the refusal.
func (k *Keeper) Take(ctx context.Context, name Name, claim Claim) (*Held, *Answer, *outcome.Failure) {
	key := name.RowKey()
	version := uint64(0)
	for {
		row, err := k.Store.Read(ctx, key)
		if err != nil {
			return nil, nil, refuseStore(err)
		}
		if row.Version != 0 && !row.Deleted {
			var found Claim
			if err = row.Decode(&found); err != nil {
				return nil, nil, refuseStore(err)
			}
			if time.Now().Before(found.Expires) {
				answer, refusal := found.Judge(claim.BodyHash, k.IsAlive)
				if refusal != nil {
					return nil, nil, refusal
				}
				return nil, &answer, nil
			}
			version = row.Version
		}
		take := table.Transaction{}
		take = take.WithCondition(key, version)
		take = take.WithWrite(table.Put(key, claim))
		landed, err := k.Commit(ctx, take)
		if err == nil {
			return &Held{
				key:     key,
				version: landed,
				claim:   claim,
			}, nil, nil
		}
		if !errors.Is(err, table.ErrConflict) || ctx.Err() != nil {
			return nil, nil, refuseStore(err)
		}
	}
}

// refuseStore returns the refusal of a request whose claim could not be made.
// Nothing was handed to a backend server, so it certainly did not run.
func refuseStore(err error) *outcome.Failure {
	refusal := outcome.Refuse(outcome.ReasonKeyStoreDown, "claim idempotency key")
	refusal.Peer = "table service"
	refusal.Cause = err
	return refusal
}

// Finish keeps the answer of a request that ran.
func (k *Keeper) Finish(ctx context.Context, held *Held, answer Answer) error {
	claim := held.claim
	claim.State = Done
	claim.Answer = answer
	if len(answer.Body) > MaxKept {
		claim.State = Lost
		claim.Answer = Answer{}
	}
	return k.write(ctx, held, table.Put(held.key, claim))
}

// Lose says that a request may have run to an unknown end.
func (k *Keeper) Lose(ctx context.Context, held *Held) error {
	claim := held.claim
	claim.State = Lost
	return k.write(ctx, held, table.Put(held.key, claim))
}

// Free gives up the claim of a request that certainly did not run.
func (k *Keeper) Free(ctx context.Context, held *Held) error {
	return k.write(ctx, held, table.Write{
		Key:    held.key,
		Delete: true,
	})
}

// write changes a claim row that is held.
func (k *Keeper) write(ctx context.Context, held *Held, write table.Write) error {
	change := table.Transaction{}
	change = change.WithCondition(held.key, held.version)
	change = change.WithWrite(write)
	_, err := k.Commit(ctx, change)
	return errors.Wrapf(err, "write claim %q at the table service", held.key)
}

// IsExpired tells whether a claim row has been kept for as long as declared.
func IsExpired(row table.Row) bool {
	var claim Claim
	return row.Decode(&claim) == nil && time.Now().After(claim.Expires)
}
