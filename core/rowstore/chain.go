package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of a chain.
const (
	// relayTime is how much longer than the wait a relay's answer may take.
	relayTime = 400 * time.Millisecond
	// hurriedTime is how long the store must have been waited for to count as failing:
	// relays that say nothing may have used up the time of the call.
	hurriedTime = 300 * time.Millisecond
	// longestRelayed is the longest wait asked of a relay: one that has died
	// without a word is noticed soon after.
	longestRelayed = time.Second
	// readPatience bounds reading a table from relays: a daemon that has just started
	// serves nobody until it has read. Others may start at the same moment, on VMs with a
	// fifth of a core.
	readPatience = 400 * time.Millisecond
	// readRelays is how many relays are asked meanwhile, again and again.
	readRelays = 2
)

// errStale reports that a relay's copy is too old.
var errStale = errors.Wrap(ErrNoCopy, "its copy is too old")

// Chain reads tables from the first relay that answers with a young copy, and
// from the store itself where there is none, or this daemon is a relay. A failed
// relay costs one short wait; the store is always the last resort, so relays can
// only save calls, never cost an answer. Use NewChain.
type Chain struct {
	// IsDirect, if set, tells of tables whose changes are wanted as soon as the store
	// tells them, past the relays; set before use.
	IsDirect func(table string) bool
	// Sharing, if set, returns how many daemons would ask the store like this one where
	// their relays have no copy; set before use.
	Sharing func() int
	// Patience is how long a read waits for relays at least; set before use. When the
	// whole system starts there is nobody to serve yet.
	Patience time.Duration

	store Reader
	clock *Freshness
	// limits says how old a copy of a table may be; tables not in it may be of
	// any age.
	limits map[string]time.Duration

	mutex  sync.Mutex
	relays []Relay
	avoid  avoidance
	// restraint decides when the store itself may be asked.
	restraint restraint
	// direct and relayed count answers by where they came from.
	direct  int64
	relayed int64
}

// Relay is another daemon that answers from its copy.
type Relay struct {
	Name   string
	Reader Reader
}

// NewChain returns a chain that has no relays yet. clock must be proved by calls
// to the store itself. Copies of the tables in limits must be younger than that.
func NewChain(store Reader, clock *Freshness, limits map[string]time.Duration) *Chain {
	return &Chain{
		store:  store,
		clock:  clock,
		limits: limits,
		avoid:  avoidance{},
	}
}

// SetRelays replaces the relays, those to be asked first before the others. A
// daemon that is a relay itself is given none.
func (c *Chain) SetRelays(relays []Relay) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.relays = relays
}

// Counts returns how many answers came from the store, and how many from relays.
func (c *Chain) Counts() (direct, relayed int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.direct, c.relayed
}

// usable returns the relays that did not fail lately.
func (c *Chain) usable() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var usable []Relay
	for _, relay := range c.relays {
		if !c.avoid.has(relay.Name) {
			usable = append(usable, relay)
		}
	}
	return usable
}

// note counts a relay's answer, or avoids one that failed.
func (c *Chain) note(relay string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.avoid.note(relay, err)
	switch {
	case errors.Is(err, ErrNoCopy):
		c.restraint.hear(time.Now())
	case err == nil:
		c.relayed++
		c.restraint.relayed()
	}
}

// Read reads a table. Relays are asked before the store for a short time only, or for
// Patience where that is longer.
func (c *Chain) Read(ctx context.Context, table string) (Result, error) {
	relays := c.usable()
	var first []Relay
	if len(relays) > 0 {
		first = []Relay{
			inTurn(relays[:min(readRelays, len(relays))]),
		}
	}
	return c.ask(ctx, table, first, max(readPatience, c.Patience), func(ctx context.Context, from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// inTurn joins relays to one that asks them in turn until one answers.
func inTurn(relays []Relay) Relay {
	readers := make([]Reader, len(relays))
	for i, relay := range relays {
		readers[i] = relay.Reader
	}
	return Relay{
		Name: relays[0].Name,
		Reader: turns{
			readers: readers,
		},
	}
}

// Feed follows a table. A relay whose copy must be young is asked for half of
// the limit at most, so that one that is cut off is noticed in time.
func (c *Chain) Feed(ctx context.Context, table string, since int64, wait time.Duration) (Result, error) {
	relayed := min(wait, longestRelayed)
	if limit, ok := c.limits[table]; ok {
		relayed = min(wait, limit/2)
	}
	relays := c.usable()
	if c.IsDirect != nil && c.IsDirect(table) && !c.hasFailed() {
		relays = nil
	}
	return c.ask(ctx, table, relays, relayed+relayTime, func(ctx context.Context, from Reader) (Result, error) {
		if from == c.store {
			return from.Feed(ctx, table, since, wait)
		}
		return from.Feed(ctx, table, since, relayed)
	})
}

// callTo makes one call to a relay, or to the store.
type callTo func(ctx context.Context, to Reader) (Result, error)

// ask makes a call to the relays in turn, and then to the store.
func (c *Chain) ask(ctx context.Context, table string, relays []Relay, limit time.Duration, call callTo) (Result, error) {
	for _, relay := range relays {
		sent := time.Now()
		limited, cancel := context.WithTimeout(ctx, limit)
		result, err := call(limited, relay.Reader)
		cancel()
		if errors.Is(err, ErrCompacted) {
			return result, err
		}
		if err == nil {
			c.date(sent, result)
			err = c.checkAge(table, result)
		}
		c.note(relay.Name, err)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil {
			return Result{}, ErrUnknown
		}
	}
	if !c.mayAsk(table) {
		return Result{}, errors.Wrap(ErrRefused, "no relay answers and the store failed lately")
	}
	began := time.Now()
	result, err := call(ctx, c.store)
	if errors.Is(err, ErrUnknown) && time.Since(began) < hurriedTime {
		return result, err
	}
	c.noteDirect(err)
	return result, err
}

// date learns from a relay's answer what the store's clock showed at the latest when
// the relay was asked.
func (c *Chain) date(sent time.Time, result Result) {
	if result.Latest > 0 {
		c.clock.Prove(sent, result.Latest)
	}
}

// mayAsk tells whether the store itself may be asked now, and notes that it is.
func (c *Chain) mayAsk(table string) bool {
	sharing := 1
	if c.Sharing != nil {
		sharing = c.Sharing()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, isLimited := c.limits[table]
	mayAsk := c.restraint.mayAsk(time.Now(), surroundings{
		isLimited: isLimited,
		relays:    len(c.relays),
		sharing:   sharing,
	})
	if mayAsk {
		c.direct++
	}
	return mayAsk
}

// hasFailed tells whether the store failed lately, so that it is asked rarely.
func (c *Chain) hasFailed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.restraint.hasFailed(time.Now())
}

// noteDirect notes how a call to the store ended.
func (c *Chain) noteDirect(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil || errors.Is(err, ErrCompacted) {
		c.restraint.answered()
		return
	}
	c.restraint.failed(time.Now())
}

// checkAge returns errStale for a copy that is too old, or cannot be dated.
func (c *Chain) checkAge(table string, result Result) error {
	limit, ok := c.limits[table]
	if !ok {
		return nil
	}
	when := c.clock.When(result.Now)
	if when.IsZero() || time.Since(when) > limit {
		return errStale
	}
	return nil
}
