// Package assembly decides how model engines form groups, and how groups end.
//
// A group is a record in the platform's store and a membership at each of its
// servers. The record is written first; the store's era and the version of its row make the
// group's epoch, so epochs rise over daemons, restarts, outages, and restores of the store
// from older copies. Then every member is ordered
// to join; the head is ordered to open only when every member itself tells that
// it is ready under that name and epoch. What servers tell decides, never the
// answer to an order: an answer may be lost, and an order may be carried out
// seconds later.
//
// A group ends at its head. Members are used again only when the head is known
// not to serve any more: it tells so, its process is gone, or it was silent for
// longer than a group stands still before it breaks. Where nothing has been heard of
// any member for long, the record alone is dropped.
//
// A group at which daemons found requests standing still or slow is suspected: its
// members are probed. It ends if one of them is dead, and also if one is slow and a
// spare can take its place.
//
// A step decides in this order, each in files of its own: which groups serve on, form or
// must end (check, suspect, late); how those that end do so safely (finish); what callers
// ask for (demand) and how many groups that takes, for whom (need, planned); what is there (layout);
// which groups form (form), or end for others (convert); which serve without a record, since
// the store was restored (adopt); and which weights servers load
// meanwhile (warm, stage, second). signs is what probes found, recent what the store keeps
// of loads, plan what a step returns.
//
// How many groups a model has follows what callers ask for, as all daemons measure it.
// Free servers stand ready for more than one model: each has been in a group of one,
// which it joins again within 0.2 s, and its host keeps another. Where a model lacks
// groups all the same, a group of one that is better off ends for it.
//
// A Controller does no I/O. It is told what happened and returns what to do; the
// caller owns it with one goroutine. Whoever takes over from another daemon
// loads the records and goes on from what the servers tell.
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

// Table is the table of group records; the key is the group's name.
const Table = "groups"

// Record is a group as the store keeps it.
type Record struct {
	Name string `json:"name"`
	// Era is the store's when the record was written.
	Era int64 `json:"era,omitempty"`
	// Epoch is written for a group that is older than its record only; else it follows
	// from the era and the version of the record's row.
	Epoch   int64  `json:"epoch,omitempty"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// Members are server IDs, the head first.
	Members []string `json:"members"`
	// IsWarmUp tells that the group is never opened: its only member joins to have
	// loaded the model once, and leaves.
	IsWarmUp bool `json:"is_warm_up,omitempty"`
}

// Encode returns the record's value in the store.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "encode record of group %s", r.Name)
}

// DecodeRecord returns the record in a row of Table.
func DecodeRecord(value []byte, version int64) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record of a group")
	}
	if record.Name == "" || len(record.Members) == 0 {
		return Record{}, errors.Errorf("decode record of group %q: it has no name or no members", record.Name)
	}
	if record.Era < 0 || record.Era > rowstore.MaxEra || record.Epoch < 0 {
		return Record{}, errors.Errorf("decode record of group %q: era %d, epoch %d are none", record.Name, record.Era, record.Epoch)
	}
	return record.WithVersion(version), nil
}

// WithVersion returns the record as it stands in a row of a version.
func (r Record) WithVersion(version int64) Record {
	if r.Epoch == 0 {
		r.Epoch = rowstore.Revision{
			Era:     r.Era,
			Version: version,
		}.Ordinal()
	}
	return r
}

// Kind is what an order asks of a server.
type Kind int

// The kinds of orders.
const (
	// Join makes a server a member, which loads the model if need be.
	Join Kind = iota
	// Open lets a ready head serve; Close makes it ready again, after its work
	// or, with Cutoff, at once; Leave ends a membership at once.
	Open
	Close
	Leave
	// Stage loads a model's weights to the host beside everything else.
	Stage
)

// String returns the kind as it stands in logs.
func (k Kind) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[k]
}

// Order is one order to one start of a server.
type Order struct {
	Server  fleet.Server
	Kind    Kind
	Group   string
	Epoch   int64
	Model   string
	Members []string
	Cutoff  bool
	// Reason is why the order is given, for the log.
	Reason string
}

// Result is what became of an order.
type Result int

// The results of orders. NoAnswer orders may have been taken, or be carried out
// later.
const (
	Taken Result = iota
	NoAnswer
	Unfit
	Fenced
	NotKnown
	OtherServer
)

// String returns the result as it stands in logs.
func (r Result) String() string {
	return [...]string{"taken", "no_answer", "unfit", "fenced", "not_known", "other_server"}[r]
}

// World is what the controller decides by.
type World struct {
	Config *config.Config
	Fleet  fleet.View
	// Evacuated are the zones whose groups get no requests, or soon will get none.
	Evacuated evacuation.Zones
	// Era is the store's in which this daemon leads.
	Era int64
	// IsSteady tells that the store has worked for long enough that a missing
	// entry means a missing server.
	IsSteady bool
	// IsStart tells that the whole system has just been started and no client
	// has sent a request: until then loads are quick and disturb nobody.
	IsStart bool
	// IsIdle tells that no client of any daemon has sent a request since the whole system was
	// started, as far as known; it lasts longer than IsStart, and bounds on loads hold.
	IsIdle bool
	// StallTime is how long a group without one of its members stands still.
	StallTime time.Duration
	// LoadWindow and LoadExcess bound the loads that may begin.
	LoadWindow time.Duration
	LoadExcess float64
	// Asked, if set, returns what callers ask of a model, and whether that is known.
	Asked func(service, model string) (rate usage.Rate, isKnown bool)
}
