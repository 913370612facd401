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

// errStale reports that a relay's copy is too old, errFormerEra that it is of before a
// restore of the store that this daemon knows of.
var (
	errStale     = errors.Wrap(ErrNoCopy, "its copy is too old")
	errFormerEra = errors.Wrap(ErrNoCopy, "its copy is of a former era")
)

// Chain reads tables from the first relay that answers with a young copy, and
// from the store itself where there is none, or this daemon is a relay. Standbys are
// asked where every relay answers that it has none. A failed
// relay costs one short wait; the store is always the last resort, so relays can
// only save calls, never cost an answer. Where the store turns this daemon away, it asks
// its fallbacks: they have a copy if it serves one of them. What comes from them is given
// to nobody (IsSecondHand), or two daemons would follow each other. Use NewChain.
type Chain struct {
	// IsDirect, if set, tells of tables whose changes are wanted as soon as the store
	// tells them, past the relays; set before use.
	IsDirect func(table string) bool
	// IsUrgent, if set, tells of tables that are asked for as often as those whose age is
	// bounded, while the store fails; set before use.
	IsUrgent func(table string) bool
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

	mutex sync.Mutex
	peers Peers
	avoid avoidance
	// isSecondHand tells that the last answer came from a fallback.
	isSecondHand bool
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

// Peers are the daemons that one daemon asks, each in the order in which they are asked.
type Peers struct {
	// Relays are asked before the store; none where this daemon is the first relay.
	Relays []Relay
	// Standbys are asked where relays answer that they have no copy.
	Standbys []Relay
	// Fallbacks are those that ask this daemon in their turn. They are asked where the
	// store fails this one.
	Fallbacks []Relay
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

// SetPeers replaces the daemons that this one asks.
func (c *Chain) SetPeers(peers Peers) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers = peers
}

// IsSecondHand tells whether this daemon's copies come from daemons that ask it.
func (c *Chain) IsSecondHand() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isSecondHand
}

// tookFrom notes whether the last answer came from a fallback.
func (c *Chain) tookFrom(isFallback bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isSecondHand = isFallback
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
	return c.withoutAvoided(c.peers.Relays)
}

// usableStandbys returns the standbys that did not fail lately, where a relay has said
// lately that it has no copy. Relays that say nothing have used up the time of a call.
func (c *Chain) usableStandbys() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.restraint.lacksCopies(time.Now()) {
		return nil
	}
	return c.withoutAvoided(c.peers.Standbys)
}

// usableFallbacks returns the fallbacks that did not fail lately, where the store did.
func (c *Chain) usableFallbacks() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.restraint.hasFailed(time.Now()) {
		return nil
	}
	return c.withoutAvoided(c.peers.Fallbacks)
}

// withoutAvoided returns those that did not fail lately. The mutex is held.
func (c *Chain) withoutAvoided(relays []Relay) []Relay {
	var usable []Relay
	for _, relay := range relays {
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
		c.restraint.observeNoCopy(time.Now())
	case err == nil:
		c.relayed++
	}
}

// errNotItsTurn reports that relays have no copy yet, and that it is for others to ask the
// store for it.
var errNotItsTurn = errors.Wrap(ErrRefused, "relays have no copy, and others ask the store for it")

// Read reads a table. Relays are asked before the store for a short time only, or for
// Patience where that is longer. Where they answer, but have no copy yet, they are asked again
// for as long as the store is left to others, each time for twice as long: when all daemons start
// at one moment, hundreds that read a large table from the store would keep the relays waiting for
// it, and a large table takes long to send.
func (c *Chain) Read(ctx context.Context, table string) (Result, error) {
	for patience := max(readPatience, c.Patience); ; patience += patience {
		result, err := c.readOnce(ctx, table, patience)
		if !errors.Is(err, errNotItsTurn) {
			return result, err
		}
		timer := time.NewTimer(turnPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Result{}, err
		}
	}
}

// relayedPart returns the part of a read's time that one relay may take to send a table: one that
// begins to send it is not cut off soon. A follower gives a read longer after one that was not
// answered in time.
func relayedPart(ctx context.Context) time.Duration {
	const parts = 2
	end, ok := ctx.Deadline()
	if !ok {
		return longestRelayed
	}
	return time.Until(end) / parts
}

// readOnce reads a table from relays, which are asked for so long, or from the store.
func (c *Chain) readOnce(ctx context.Context, table string, patience time.Duration) (Result, error) {
	relays := c.usable()
	var first []Relay
	if len(relays) > 0 {
		first = []Relay{
			inTurn(relays[:min(readRelays, len(relays))], patience),
		}
	}
	return c.ask(ctx, table, sources{
		relays:    first,
		standbys:  noRelays,
		fallbacks: noRelays,
		limit:     max(patience, relayedPart(ctx)),
	}, func(ctx context.Context, from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// HasRelays tells whether the chain knows any daemon to ask before the store.
func (c *Chain) HasRelays() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.peers.Relays) > 0
}

// sample reads the first rows of a table from the store, if it may be asked now.
func (c *Chain) sample(ctx context.Context, table string, rows int, from Sampler) (result Result, isWhole bool, err error) {
	result, err = c.askStore(ctx, table, func(ctx context.Context, _ Reader) (Result, error) {
		var sampled Result
		var sampleErr error
		sampled, isWhole, sampleErr = from.Sample(ctx, table, rows)
		return sampled, sampleErr
	})
	return result, isWhole, err
}

// inTurn joins relays to one that asks them in turn until one answers, for so long.
func inTurn(relays []Relay, patience time.Duration) Relay {
	readers := make([]Reader, len(relays))
	for i, relay := range relays {
		readers[i] = relay.Reader
	}
	return Relay{
		Name: relays[0].Name,
		Reader: turns{
			readers:  readers,
			patience: patience,
		},
	}
}

// Feed follows a table. A relay whose copy must be young is asked for half of
// the limit at most, so that one that is cut off is noticed in time.
func (c *Chain) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	relayed := min(wait, longestRelayed)
	if limit, ok := c.limits[table]; ok {
		relayed = min(wait, limit/2)
	}
	sources := sources{
		relays:    c.usable(),
		standbys:  c.usableStandbys,
		fallbacks: c.usableFallbacks,
		limit:     relayed + relayTime,
	}
	if c.IsDirect != nil && c.IsDirect(table) && !c.hasFailed() {
		sources.relays = nil
		sources.standbys = noRelays
	}
	return c.ask(ctx, table, sources, func(ctx context.Context, from Reader) (Result, error) {
		if from == c.store {
			return from.Feed(ctx, table, since, waitLeft(ctx, wait))
		}
		return from.Feed(ctx, table, since, relayed)
	})
}

// waitLeft returns how long the store may be asked to wait for changes: relays may have
// used up a part of the call's time, and an answer that comes too late would be taken for
// a failure of the store.
func waitLeft(ctx context.Context, wait time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(end)-feedMargin))
}

// callTo makes one call to a relay, or to the store.
type callTo func(ctx context.Context, to Reader) (Result, error)

// sources are whom a call is made to before the store.
type sources struct {
	relays []Relay
	// standbys and fallbacks return those to be asked after the relays, when it is their
	// turn.
	standbys  func() []Relay
	fallbacks func() []Relay
	// limit bounds a call to one of them.
	limit time.Duration
}

// noRelays stands for sources that are not asked.
func noRelays() []Relay {
	return nil
}

// ask makes a call to the relays in turn, then to the standbys, to the fallbacks, and then
// to the store.
func (c *Chain) ask(ctx context.Context, table string, from sources, call callTo) (Result, error) {
	result, err := c.askRelays(ctx, table, from.relays, from.limit, call)
	if isUnanswered(ctx, err) {
		result, err = c.askRelays(ctx, table, from.standbys(), from.limit, call)
	}
	if !isUnanswered(ctx, err) {
		c.tookFrom(false)
		return result, err
	}
	result, err = c.askRelays(ctx, table, from.fallbacks(), from.limit, call)
	if !isUnanswered(ctx, err) {
		c.tookFrom(true)
		return result, err
	}
	result, err = c.askStore(ctx, table, call)
	if err == nil {
		c.tookFrom(false)
	}
	return result, err
}

// errUnanswered reports that none of some daemons answered with a young copy.
var errUnanswered = errors.New("no other daemon answers")

// isUnanswered tells whether it is left to others to answer a call.
func isUnanswered(ctx context.Context, err error) bool {
	return errors.Is(err, errUnanswered) && ctx.Err() == nil
}

// askRelays makes a call to some daemons in turn, for a time at most to each. It fails
// with errUnanswered where none answers with a young copy.
func (c *Chain) askRelays(ctx context.Context, table string, relays []Relay, limit time.Duration, call callTo) (Result, error) {
	for _, relay := range relays {
		sent := c.clock.Now()
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
	return Result{}, errUnanswered
}

// askStore makes a call to the store, if it may be asked now.
func (c *Chain) askStore(ctx context.Context, table string, call callTo) (Result, error) {
	if !c.mayAsk(table) {
		if c.lacksCopies() {
			return Result{}, errNotItsTurn
		}
		return Result{}, errors.Wrap(ErrRefused, "no relay answers and the store failed lately")
	}
	began := time.Now()
	result, err := call(ctx, c.store)
	if !isBrokenOff(ctx, time.Since(began)) {
		c.noteDirect(err)
	}
	return result, err
}

// isBrokenOff tells whether a call to the store that took so long was ended by the daemon
// itself, which says nothing of the store: its caller stopped, or relays had used up its
// time. A connection that is cut at once is another matter: the store did that.
func isBrokenOff(ctx context.Context, took time.Duration) bool {
	err := ctx.Err()
	return errors.Is(err, context.Canceled) || (err != nil && took < hurriedTime)
}

// date learns from a relay's answer what the store's clock showed at the latest when
// the relay was asked.
func (c *Chain) date(sent time.Time, result Result) {
	if result.Latest > 0 {
		c.clock.Prove(result.Era, sent, result.Latest)
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
	isLimited = isLimited || (c.IsUrgent != nil && c.IsUrgent(table))
	mayAsk := c.restraint.mayAsk(time.Now(), surroundings{
		isLimited: isLimited,
		relays:    len(c.peers.Relays),
		standbys:  len(c.peers.Standbys),
		sharing:   sharing,
	})
	if mayAsk {
		c.direct++
	}
	return mayAsk
}

// lacksCopies tells whether a relay answered lately that it has no copy.
func (c *Chain) lacksCopies() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.restraint.lacksCopies(time.Now()) && !c.restraint.hasFailed(time.Now())
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

// checkAge returns errFormerEra for a copy of a former era, and errStale for one that is
// too old, or cannot be dated.
func (c *Chain) checkAge(table string, result Result) error {
	if result.Era < c.clock.Era() {
		return errFormerEra
	}
	limit, ok := c.limits[table]
	if !ok {
		return nil
	}
	when := c.clock.When(result.Era, result.Now)
	if when.IsZero() || c.clock.Since(when) > limit {
		return errStale
	}
	return nil
}
