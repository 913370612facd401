package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// relayMargin is added to the wait of a feed to get the timeout of a call to a relay.
	relayMargin = 400 * time.Millisecond
	// minStoreWait is the shortest time after which a call to the store that hit its deadline
	// counts as a failure of the store. A shorter call shows only that unresponsive relays used up
	// its time.
	minStoreWait = 300 * time.Millisecond
	// maxRelayWait limits the wait of a feed at a relay for tables without a maximum age, so that a
	// crashed relay is detected early.
	maxRelayWait = time.Second
	// relayReadTimeout is the first timeout for reading a table from relays. A daemon that has just
	// started serves no requests until it has read its tables. Other daemons may start at the same
	// moment on VMs with a fifth of a core.
	relayReadTimeout = 400 * time.Millisecond
	// relaysPerRead is how many relays a read calls in turn until one answers.
	relaysPerRead = 2
)

// errStale reports that a relay's copy is too old. errFormerEra reports that the copy predates a
// restore of the store that this daemon has seen.
var (
	errStale     = errors.Wrap(ErrNoCopy, "its copy is too old")
	errFormerEra = errors.Wrap(ErrNoCopy, "its copy is of a former era")
)

// ReaderChain reads tables from the first relay that has a fresh copy, and from the store if no
// relay has one or this daemon is the first relay. Standbys are called if relays answer that they
// have no copy. A failed relay costs one short timeout. The store is always the last resort, and is
// called only if the limiter admits the call. If the store fails for this daemon, the chain calls
// the fallbacks, which have a copy if the store serves one of them. Copies that come from fallbacks
// are not served to other daemons (IsFromFallback); otherwise two daemons would follow each other.
// Use NewReaderChain.
type ReaderChain struct {
	// BypassesRelays, if set, selects tables whose changes are followed at the store itself,
	// without relays, to see them as early as possible; relays are used while the store fails. Set
	// it before use.
	BypassesRelays func(table string) bool
	// HasPriority, if set, selects tables that are retried as often as age-bounded ones while the
	// store fails. Set it before use.
	HasPriority func(table string) bool
	// ContenderCount, if set, returns how many daemons call the store in the same way as this one
	// if their relays have no copy. Set it before use.
	ContenderCount func() int
	// MinRelayTime is the minimum time that a read tries relays before it calls the store. Set it
	// before use. At a start of the whole system it can be long, since there are no requests to
	// serve yet.
	MinRelayTime time.Duration

	store Reader
	clock *Freshness
	// maxAges holds the maximum age of a copy by table; tables without an entry may be of any age.
	maxAges map[string]time.Duration

	mutex    sync.Mutex
	peers    Peers
	backoffs relayBackoffs
	// isFromFallback is set if the last call ended at a fallback. A failed call to the store does not
	// change it.
	isFromFallback bool
	// limiter decides when the store itself may be called.
	limiter storeLimiter
	// covered is the local time until which answers cover all changes, by table.
	covered map[string]time.Time
	// racedAt is when a race last called the store.
	racedAt time.Time
	// storeCalls counts the calls to the store, relayAnswers the answers that came from relays.
	storeCalls   int64
	relayAnswers int64
}

// NewReaderChain returns a chain without relays. Calls to the store itself must update clock.
// maxAges holds the maximum age of a copy by table.
func NewReaderChain(store Reader, clock *Freshness, maxAges map[string]time.Duration) *ReaderChain {
	return &ReaderChain{
		store:    store,
		clock:    clock,
		maxAges:  maxAges,
		backoffs: relayBackoffs{},
		covered:  map[string]time.Time{},
	}
}

// SetPeers replaces the daemons that this one calls.
func (c *ReaderChain) SetPeers(peers Peers) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers = peers
}

// IsFromFallback reports whether this daemon's copies come from a fallback, which may call it.
func (c *ReaderChain) IsFromFallback() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isFromFallback
}

// recordSource records whether the last call ended at a fallback, with or without an answer.
func (c *ReaderChain) recordSource(isFallback bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isFromFallback = isFallback
}

// CallCounts returns the number of calls to the store and of answers from relays.
func (c *ReaderChain) CallCounts() (storeCalls, relayAnswers int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.storeCalls, c.relayAnswers
}

// availableRelays returns the relays that are not backed off.
func (c *ReaderChain) availableRelays() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.withoutBackedOff(c.peers.Relays)
}

// availableStandbys returns the standbys that are not backed off, or none unless a relay has
// answered recently that it has no copy. If the relays were unresponsive instead, they have used up
// the time of the call.
func (c *ReaderChain) availableStandbys() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.limiter.relaysLackCopies(time.Now()) {
		return nil
	}
	return c.withoutBackedOff(c.peers.Standbys)
}

// availableFallbacks returns the fallbacks that are not backed off, or none unless the store has
// failed recently.
func (c *ReaderChain) availableFallbacks() []Relay {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.limiter.failedRecently(time.Now()) {
		return nil
	}
	return c.withoutBackedOff(c.peers.Fallbacks)
}

// withoutBackedOff returns the daemons that are not backed off. The mutex must be held.
func (c *ReaderChain) withoutBackedOff(relays []Relay) []Relay {
	var available []Relay
	for _, relay := range relays {
		if !c.backoffs.isBackedOff(relay.Name) {
			available = append(available, relay)
		}
	}
	return available
}

// recordRelayResult counts a relay's answer, or backs off from a relay that failed.
func (c *ReaderChain) recordRelayResult(name string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backoffs.record(name, err)
	switch {
	case errors.Is(err, ErrNoCopy):
		c.limiter.observeNoCopy(time.Now())
	case err == nil:
		c.relayAnswers++
	}
}

// errWaitForRelays reports that relays have no copy yet, and that other daemons are to read
// the table from the store.
var errWaitForRelays = errors.Wrap(ErrRefused, "relays have no copy yet, and other daemons read it from the store")

// Read reads a table. It tries relays for relayReadTimeout, or for MinRelayTime if that is longer,
// and then the store. If relays answer but have no copy, and other daemons are to read the table
// from the store, Read tries the relays again, each time for twice as long. Otherwise, at a start
// of all daemons at the same moment, hundreds of reads of a large table would saturate the store's
// link and delay the relays.
func (c *ReaderChain) Read(ctx context.Context, table string) (Result, error) {
	for timeout := max(relayReadTimeout, c.MinRelayTime); ; timeout += timeout {
		result, err := c.readOnce(ctx, table, timeout)
		if !errors.Is(err, errWaitForRelays) {
			return result, err
		}
		timer := time.NewTimer(roundRobinPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Result{}, err
		}
	}
}

// relayReadLimit returns how long the relays of a read may take to send a table: half of the time
// that is left, so that a relay that has begun to send is not cut off early. After a timeout a
// Follower gives the next read more time.
func relayReadLimit(ctx context.Context) time.Duration {
	const parts = 2
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxRelayWait
	}
	return time.Until(deadline) / parts
}

// readOnce reads a table once, from relays for up to timeout, or else from the store.
func (c *ReaderChain) readOnce(ctx context.Context, table string, timeout time.Duration) (Result, error) {
	relays := c.availableRelays()
	var joined []Relay
	if len(relays) > 0 {
		joined = []Relay{
			roundRobinRelay(relays[:min(relaysPerRead, len(relays))], timeout),
		}
	}
	return c.callInOrder(ctx, table, sources{
		relays:    joined,
		standbys:  noRelays,
		fallbacks: noRelays,
		timeout:   max(timeout, relayReadLimit(ctx)),
	}, func(ctx context.Context, from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// HasRelays reports whether the chain has relays; standbys and fallbacks do not count.
func (c *ReaderChain) HasRelays() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.peers.Relays) > 0
}

// sample reads the first rows of a table from the store, if the limiter admits the call.
func (c *ReaderChain) sample(ctx context.Context, table string, rows int, from Sampler) (result Result, isComplete bool, err error) {
	result, err = c.callStore(ctx, table, func(ctx context.Context, _ Reader) (Result, error) {
		var sampled Result
		var sampleErr error
		sampled, isComplete, sampleErr = from.Sample(ctx, table, rows)
		return sampled, sampleErr
	})
	return result, isComplete, err
}

// roundRobinRelay returns a relay that calls the given ones in turn until one answers or timeout
// passes.
func roundRobinRelay(relays []Relay, timeout time.Duration) Relay {
	readers := make([]Reader, len(relays))
	for i, relay := range relays {
		readers[i] = relay.Reader
	}
	return Relay{
		Name: relays[0].Name,
		Reader: roundRobin{
			readers: readers,
			timeout: timeout,
		},
	}
}

// Feed follows a table. At a relay whose copy must be fresh, a feed waits for at most half of
// the maximum age, so that a relay that is cut off is detected in time.
func (c *ReaderChain) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	relayWait := min(wait, maxRelayWait)
	if maxAge, ok := c.maxAges[table]; ok {
		relayWait = min(wait, maxAge/2)
	}
	sources := sources{
		relays:    c.availableRelays(),
		standbys:  c.availableStandbys,
		fallbacks: c.availableFallbacks,
		timeout:   relayWait + relayMargin,
	}
	if c.BypassesRelays != nil && c.BypassesRelays(table) && !c.storeFailedRecently() {
		sources.relays = nil
		sources.standbys = noRelays
	}
	return c.callInOrder(ctx, table, sources, func(ctx context.Context, from Reader) (Result, error) {
		if from == c.store && c.hasGap(table) {
			return readSnapshot(ctx, from, table)
		}
		if from == c.store {
			return from.Feed(ctx, table, since, remainingWait(ctx, wait))
		}
		return from.Feed(ctx, table, since, relayWait)
	})
}

// remainingWait returns how long a feed at the store may wait for changes. Relays may have
// used up a part of the call's time, and a late answer would count as a failure of the store.
func remainingWait(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(deadline)-feedTimeoutMargin))
}

// readerCall makes one call to a relay or to the store.
type readerCall func(ctx context.Context, to Reader) (Result, error)

// sources are the daemons that are called before the store.
type sources struct {
	relays []Relay
	// standbys and fallbacks return the daemons to call after the relays. They are evaluated only
	// when needed.
	standbys  func() []Relay
	fallbacks func() []Relay
	// timeout limits a call to one of them.
	timeout time.Duration
}

// noRelays is used for sources that are not called.
func noRelays() []Relay {
	return nil
}

// callInOrder calls the relays in turn, then the standbys, then the fallbacks, and then the store.
func (c *ReaderChain) callInOrder(ctx context.Context, table string, sources sources, call readerCall) (Result, error) {
	result, err := c.callRelays(ctx, table, sources.relays, sources.timeout, call)
	if isLeftToNext(ctx, err) {
		result, err = c.callRelays(ctx, table, sources.standbys(), sources.timeout, call)
	}
	if !isLeftToNext(ctx, err) {
		c.recordSource(false)
		return result, err
	}
	result, err = c.callRelays(ctx, table, sources.fallbacks(), sources.timeout, call)
	if !isLeftToNext(ctx, err) {
		c.recordSource(true)
		return result, err
	}
	result, err = c.callStore(ctx, table, call)
	if err == nil {
		c.recordSource(false)
	}
	return result, err
}

// errNoPeerAnswered reports that none of the called daemons answered with a fresh copy.
var errNoPeerAnswered = errors.New("no other daemon answers")

// isLeftToNext reports whether the next source is to be called.
func isLeftToNext(ctx context.Context, err error) bool {
	return errors.Is(err, errNoPeerAnswered) && ctx.Err() == nil
}

// callRelays calls daemons in turn, each with a timeout. It fails with errNoPeerAnswered if none
// answers with a fresh copy, with ErrCompacted if one of them does, and with ErrOutcomeUnknown if
// ctx ends during a call.
func (c *ReaderChain) callRelays(ctx context.Context, table string, relays []Relay, timeout time.Duration, call readerCall) (Result, error) {
	for _, relay := range relays {
		sent := c.clock.Now()
		limited, cancel := context.WithTimeout(ctx, timeout)
		result, err := call(limited, relay.Reader)
		cancel()
		if errors.Is(err, ErrCompacted) {
			return result, err
		}
		if err == nil {
			c.observeStoreClock(sent, result)
			err = c.checkAge(table, result)
		}
		c.recordRelayResult(relay.Name, err)
		if err == nil {
			result.Source = relay.Name
			c.recordCovered(table, c.clock.LocalTime(result.Era, result.Now))
			return result, nil
		}
		if ctx.Err() != nil {
			return Result{}, ErrOutcomeUnknown
		}
	}
	return Result{}, errNoPeerAnswered
}

// callStore calls the store, if the limiter admits the call.
func (c *ReaderChain) callStore(ctx context.Context, table string, call readerCall) (Result, error) {
	if !c.admitStoreCall(table) {
		if c.relaysLackCopies() {
			return Result{}, errWaitForRelays
		}
		return Result{}, errors.Wrap(ErrRefused, "no relay has a fresh copy and the store failed recently: "+c.describeWait(table))
	}
	began := time.Now()
	sent := c.clock.Now()
	result, err := call(ctx, c.store)
	result.Source = StoreSource
	result.SentAt = sent
	if !isCutShort(ctx, time.Since(began)) {
		c.recordStoreResult(err)
	}
	if err == nil {
		c.recordCovered(table, c.clock.Now())
	}
	return result, err
}

// isCutShort reports whether this daemon itself ended a call to the store, because its caller
// stopped or relays had used up its time. Such a call is no evidence of a failure of the
// store. A connection that is closed at once is a failure of the store.
func isCutShort(ctx context.Context, duration time.Duration) bool {
	err := ctx.Err()
	return errors.Is(err, context.Canceled) || (err != nil && duration < minStoreWait)
}

// observeStoreClock updates the clock with a relay's upper bound of the store's clock at the time
// the relay was called.
func (c *ReaderChain) observeStoreClock(sent time.Time, result Result) {
	if result.MaxStoreTime > 0 {
		c.clock.ObserveClock(result.Era, sent, result.MaxStoreTime)
	}
}

// admitStoreCall reports whether the store itself may be called now, and records the call.
func (c *ReaderChain) admitStoreCall(table string) bool {
	contenders := 1
	if c.ContenderCount != nil {
		contenders = c.ContenderCount()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isAdmitted := c.limiter.admit(time.Now(), c.storeCall(table, contenders))
	if isAdmitted {
		c.storeCalls++
	}
	return isAdmitted
}

// storeCall describes a call to the store for a table. The mutex must be held.
func (c *ReaderChain) storeCall(table string, contenders int) storeCall {
	_, isAgeBounded := c.maxAges[table]
	return storeCall{
		isAgeBounded: isAgeBounded || (c.HasPriority != nil && c.HasPriority(table)),
		relays:       len(c.peers.Relays),
		standbys:     len(c.peers.Standbys),
		contenders:   contenders,
	}
}

// relaysLackCopies reports whether a relay answered recently that it has no copy, while the store
// has not failed.
func (c *ReaderChain) relaysLackCopies() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiter.relaysLackCopies(time.Now()) && !c.limiter.failedRecently(time.Now())
}

// storeFailedRecently reports whether the store failed recently, so that calls to it are limited.
func (c *ReaderChain) storeFailedRecently() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiter.failedRecently(time.Now())
}

// recordStoreResult records the result of a call to the store.
func (c *ReaderChain) recordStoreResult(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil || errors.Is(err, ErrCompacted) {
		c.limiter.recordSuccess()
		return
	}
	c.limiter.recordFailure(time.Now())
}

// checkAge returns errFormerEra for a copy of a former era, and errStale for a copy that is too old
// or cannot be dated.
func (c *ReaderChain) checkAge(table string, result Result) error {
	if result.Era < c.clock.Era() {
		return errFormerEra
	}
	maxAge, ok := c.maxAges[table]
	if !ok {
		return nil
	}
	shownAt := c.clock.LocalTime(result.Era, result.Now)
	if shownAt.IsZero() || c.clock.Since(shownAt) > maxAge {
		return errStale
	}
	return nil
}
