// Package assembly decides how model engines form groups, and how groups end.
//
// A group is a record in the platform's store and a membership at each of its servers. The
// record is written first. The store's era and the version of the record's row make up the
// group's epoch, so epochs increase across daemons, restarts, outages, and restores of the
// store from older copies. Then every member is ordered to join. The head is ordered to
// open only when every member itself reports that it is ready under that name and epoch.
// Decisions follow what servers report, since an answer to an order may be lost, and an
// order may be carried out seconds later. Of the answers, only those that state a result
// count: a head that accepts the order to leave, and a server that refuses an order.
//
// A group ends at its head. Its record is removed, and its members are reused, only when the
// head is out: its entry shows that it has left, or it has accepted the order to leave. If
// the head does not answer or has no entry, the other members must have left instead, or the
// group must have lacked a member for longer than it may stall before it breaks. If none of
// the members has been observed for a long time, only the record is removed.
//
// A group is suspected when daemons report stalled or slow requests there: its members are
// probed. Three decisions follow, each with its own evidence. Daemons avoid the group as soon as
// one of them reports it. It is replaced by free servers, and keeps running, while a member misses
// its probes. It ends, with all that it runs, only if a member is lost: a probe was refused, the
// member has started again, it has answered nothing for lostAfter, or it has no entry either. A
// server that lives may be silent for more than a second. A group with a slow member ends if a
// spare can replace that member.
//
// Each step decides in this order: which servers have restarted (restart); which groups keep
// serving, form or must end (check, suspect, overdue); how ending groups end safely (finish);
// which groups serve without a record after a restore of the store (adopt); how much callers
// request (demand) and the current state of each service (service_state); how many groups
// that needs and of which model (need, allocate); which groups form (form), replace suspected ones
// (replace) or end for other models (convert); and which weights servers load in the meantime (warm, stage,
// second_model). probe holds probe results, recent_models what the store has about loaded
// models, and plan the result of a step.
//
// The number of groups of a model follows the demand that all daemons measure. Free servers
// are ready for more than one model: each was once in a group of one, which lets it rejoin
// that model within 0.2 s, and its host has the weights of another model staged. If a model
// still lacks groups, a group of a model with a better service level ends for it; this is a
// conversion.
//
// A Controller does no I/O. It receives events and returns a plan; its caller owns it from
// one goroutine. A new leader loads the records and continues from what the servers report.
package assembly

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/config"
	"headcourse/core/evacuation"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/core/usage"
)

// Table holds the group records; the key is the group's name.
const Table = "groups"

// Record is a group as it is stored.
type Record struct {
	Name string `json:"name"`
	// Era is the store's era in which the record was written.
	Era int64 `json:"era,omitempty"`
	// Epoch is stored only for a group that is older than its record. Otherwise it follows
	// from the era and the version of the record's row (WithVersion).
	Epoch   int64  `json:"epoch,omitempty"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// Members are server IDs, the head first.
	Members []string `json:"members"`
	// IsWarmUp is true for a group that never opens: its only member joins to load the
	// model once, and then leaves.
	IsWarmUp bool `json:"is_warm_up,omitempty"`
}

// Encode returns the value of the record's row in the store.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "encode record of group %s", r.Name)
}

// DecodeRecord decodes a row of Table.
func DecodeRecord(value []byte, version int64) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record of a group")
	}
	if record.Name == "" || len(record.Members) == 0 {
		return Record{}, errors.Errorf("decode record of group %q: the name or the members are missing", record.Name)
	}
	if record.Era < 0 || record.Era > rowstore.MaxEra || record.Epoch < 0 {
		return Record{}, errors.Errorf("decode record of group %q: era %d or epoch %d is out of range", record.Name, record.Era, record.Epoch)
	}
	return record.WithVersion(version), nil
}

// WithVersion returns the record with the epoch that follows from the version of its row,
// unless the record has an epoch.
func (r Record) WithVersion(version int64) Record {
	if r.Epoch == 0 {
		r.Epoch = rowstore.Revision{
			Era:     r.Era,
			Version: version,
		}.Ordinal()
	}
	return r
}

// OrderKind is the operation that an order requests of a server.
type OrderKind int

// The kinds of orders.
const (
	// Join makes a server a member; it loads the model first if necessary.
	Join OrderKind = iota
	// Open lets a ready head serve. Close makes an open head ready again, after its work
	// or, with IsImmediate, immediately. Leave ends a membership immediately.
	Open
	Close
	Leave
	// Stage loads a model's weights to the host without changing the membership.
	Stage
)

// String returns the name of the kind in logs.
func (k OrderKind) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[k]
}

// Order is an order to one start of a server.
type Order struct {
	Server      fleet.Server
	Kind        OrderKind
	Group       string
	Epoch       int64
	Model       string
	Members     []string
	IsImmediate bool
	// Reason is why the order is given, for the log.
	Reason string
}

// OrderResult is the outcome of an order.
type OrderResult int

// The results of orders. After NoAnswer the order may have been carried out, or may be
// carried out later.
const (
	Accepted OrderResult = iota
	NoAnswer
	InvalidState
	Fenced
	Rejected
	WrongServer
)

// String returns the name of the result in logs.
func (r OrderResult) String() string {
	return [...]string{"taken", "no_answer", "unfit", "fenced", "not_known", "other_server"}[r]
}

// Input is the input of a step.
type Input struct {
	Config *config.Config
	Fleet  fleet.View
	// EvacuatedZones are the zones whose groups get no requests, or will get none once
	// the daemons have left.
	EvacuatedZones evacuation.Zones
	// Era is the store's era in which this daemon leads.
	Era int64
	// IsStoreStable is true once the store has been available for long enough that a missing
	// entry means a missing server.
	IsStoreStable bool
	// IsStartupPhase is true while the whole system has just started and no client has sent a
	// request: loads are quick then and delay no requests.
	IsStartupPhase bool
	// IsBeforeFirstRequest is true while, as far as known, no client of any daemon has sent
	// a request since the whole system started. It lasts longer than IsStartupPhase, and
	// limits on loads apply.
	IsBeforeFirstRequest bool
	// StallTimeout is how long a group that lacks a member stalls before its head breaks.
	StallTimeout time.Duration
	// LoadWindow and LoadLimitFactor limit how many loads may start: LoadWindow is the period
	// over which loads are counted, LoadLimitFactor a factor on the rate; less than 1 counts
	// as 1.
	LoadWindow      time.Duration
	LoadLimitFactor float64
	// DemandOf, if set, returns the demand for a model, and whether it is known.
	DemandOf func(service, model string) (rate usage.Rate, isKnown bool)
}
