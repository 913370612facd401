package rowstore

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxRacingRelays is the maximum number of relays that a race calls first.
	maxRacingRelays = 3
	// raceHeadStart is how long one stage of a race runs alone before the next one is called too.
	raceHeadStart = 60 * time.Millisecond
	// racePeerTimeout and raceStoreTimeout limit the calls of a race.
	racePeerTimeout  = 250 * time.Millisecond
	raceStoreTimeout = 350 * time.Millisecond
	// raceStoreInterval is the minimum time between two calls of a daemon's races to the store. Each contender
	// adds raceSharedInterval, so that all daemons together make a bounded number of calls.
	raceStoreInterval  = 400 * time.Millisecond
	raceSharedInterval = 20 * time.Millisecond
	// raceAnsweredInterval and raceAnsweredSharedInterval replace these while other daemons answer. With more than
	// maxRacingContenders only the regular calls are made then.
	raceAnsweredInterval       = 1400 * time.Millisecond
	raceAnsweredSharedInterval = 47 * time.Millisecond
	maxRacingContenders        = 40
)

// Race confirms tables by several daemons at the same time, and by the store if none of them has a fresh copy. It
// answers as fast as the fastest fresh source, whatever happened to the others before, at the price of more calls.
// Relays get a head start, then standbys and fallbacks, then the store. Use ReaderChain.Race.
type Race struct {
	chain *ReaderChain
	// maxAge is the age of a copy up to which it ends the race.
	maxAge time.Duration
}

// Race returns a race between the sources of the chain that prefers copies which are younger than maxAge. If
// no source has one, the race ends with the freshest copy that the chain itself accepts.
func (c *ReaderChain) Race(maxAge time.Duration) Race {
	return Race{
		chain:  c,
		maxAge: maxAge,
	}
}

// Confirm returns the changes of a table since a revision, or the whole table, as it does if mustRead is set.
func (r Race) Confirm(ctx context.Context, table string, since Revision, mustRead bool) (Result, error) {
	answer := r.run(ctx, table, func(ctx context.Context, to Reader) (Result, error) {
		if mustRead || (to == r.chain.store && r.chain.hasGap(table)) {
			return readSnapshot(ctx, to, table)
		}
		changes, err := to.Feed(ctx, table, since, 0)
		if errors.Is(err, ErrCompacted) {
			return readSnapshot(ctx, to, table)
		}
		return changes, err
	})
	return answer.result, answer.err
}

// raceAnswer is the result of one call of a race.
type raceAnswer struct {
	result Result
	err    error
	// isFresh is set if the result is as fresh as the race requires, isFromFallback if a fallback has answered.
	isFresh        bool
	isFromFallback bool
}

// raceStage makes some calls and returns their number. Each sends one answer. hasPeerAnswer is set if a relay or a
// standby has answered in an earlier stage.
type raceStage func(ctx context.Context, answers chan<- raceAnswer, hasPeerAnswer bool) int

// run calls the stages one after the other, each raceHeadStart after the one before, or as soon as the calls of that
// one have failed.
func (r Race) run(ctx context.Context, table string, call readerCall) raceAnswer {
	best := r.runStages(ctx, table, call)
	if best.err == nil {
		r.chain.recordSource(best.isFromFallback)
	}
	return best
}

// runStages is run without recording the source of the answer.
func (r Race) runStages(ctx context.Context, table string, call readerCall) raceAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, next := r.chain.racingPeers()
	callPeers := func(peers []racingPeer) raceStage {
		return func(ctx context.Context, answers chan<- raceAnswer, _ bool) int {
			for _, peer := range peers {
				go func() { answers <- r.callPeer(ctx, table, peer, call) }()
			}
			return len(peers)
		}
	}
	stages := []raceStage{
		callPeers(first),
		callPeers(next),
		func(ctx context.Context, answers chan<- raceAnswer, hasPeerAnswer bool) int {
			go func() { answers <- r.callStore(ctx, table, hasPeerAnswer, call) }()
			return 1
		},
	}
	const storeCalls = 1
	answers := make(chan raceAnswer, len(first)+len(next)+storeCalls)
	best := raceAnswer{
		err: ErrRefused,
	}
	pending := 0
	hasPeerAnswer := false
	for pending > 0 || len(stages) > 0 {
		if pending == 0 {
			pending += stages[0](ctx, answers, hasPeerAnswer)
			stages = stages[1:]
			continue
		}
		select {
		case answer := <-answers:
			pending--
			if answer.isFresh {
				return answer
			}
			hasPeerAnswer = hasPeerAnswer || answer.isOfRelay()
			best = best.better(answer)
		case <-stageTimer(stages):
			pending += stages[0](ctx, answers, hasPeerAnswer)
			stages = stages[1:]
		case <-ctx.Done():
			return best
		}
	}
	return best
}

// stageTimer returns a channel that receives after raceHeadStart, or nil without further stages.
func stageTimer(stages []raceStage) <-chan time.Time {
	if len(stages) == 0 {
		return nil
	}
	return time.After(raceHeadStart)
}

// better returns the answer with the fresher copy, or the other one if it failed.
func (a raceAnswer) better(other raceAnswer) raceAnswer {
	if a.err != nil || (other.err == nil && other.result.Now > a.result.Now) {
		return other
	}
	return a
}

// isOfRelay reports whether a relay or a standby has answered, with or without a copy.
func (a raceAnswer) isOfRelay() bool {
	return !a.isFromFallback && (a.err == nil || errors.Is(a.err, ErrNoCopy))
}

// callPeer calls another daemon.
func (r Race) callPeer(ctx context.Context, table string, peer racingPeer, call readerCall) raceAnswer {
	c := r.chain
	sent := c.clock.Now()
	limited, cancel := context.WithTimeout(ctx, racePeerTimeout)
	defer cancel()
	result, err := call(limited, peer.Reader)
	if err == nil {
		c.observeStoreClock(sent, result)
		err = c.checkAge(table, result)
	}
	if err == nil || errors.Is(err, ErrNoCopy) {
		// An unanswered call is recorded by the regular calls.
		c.recordRelayResult(peer.Name, err)
	}
	result.Source = peer.Name
	return raceAnswer{
		result:         result,
		err:            err,
		isFresh:        err == nil && c.clock.Since(c.clock.LocalTime(result.Era, result.Now)) <= r.maxAge,
		isFromFallback: peer.isFallback,
	}
}

// callStore calls the store, if that is admitted.
func (r Race) callStore(ctx context.Context, table string, hasPeerAnswer bool, call readerCall) raceAnswer {
	c := r.chain
	if !c.admitRaceCall(hasPeerAnswer) {
		return raceAnswer{
			err: errors.Wrap(ErrRefused, "the store was called out of turn recently"),
		}
	}
	limited, cancel := context.WithTimeout(ctx, raceStoreTimeout)
	defer cancel()
	began := time.Now()
	sent := c.clock.Now()
	result, err := call(limited, c.store)
	result.Source = StoreSource
	result.SentAt = sent
	if !isCutShort(limited, time.Since(began)) {
		c.recordStoreResult(err)
	}
	if err == nil {
		c.recordCovered(table, c.clock.Now())
	}
	return raceAnswer{
		result:  result,
		err:     err,
		isFresh: err == nil,
	}
}

// racingPeer is a daemon that a race calls.
type racingPeer struct {
	Relay
	isFallback bool
}

// racingPeers returns the daemons that a race calls first, and those that it calls next. Back-offs do not count:
// they save the time of calls that wait for each other.
func (c *ReaderChain) racingPeers() (first, next []racingPeer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var relays, fallbacks []racingPeer
	for _, relay := range slices.Concat(c.peers.Relays, c.peers.Standbys) {
		relays = append(relays, racingPeer{
			Relay: relay,
		})
	}
	for _, fallback := range c.peers.Fallbacks {
		fallbacks = append(fallbacks, racingPeer{
			Relay:      fallback,
			isFallback: true,
		})
	}
	count := min(maxRacingRelays, len(c.peers.Relays))
	return relays[:count], slices.Concat(relays[count:], fallbacks)
}

// admitRaceCall reports whether a race may call the store now, and records the call. If other daemons answer the
// race, they call the store too, so that this one may do so less often, and not at all with many daemons.
func (c *ReaderChain) admitRaceCall(hasPeerAnswer bool) bool {
	contenders := 1
	if c.ContenderCount != nil {
		contenders = c.ContenderCount()
	}
	interval := max(raceStoreInterval, time.Duration(contenders)*raceSharedInterval)
	if hasPeerAnswer {
		interval = max(raceAnsweredInterval, time.Duration(contenders)*raceAnsweredSharedInterval)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if now.Sub(c.racedAt) < interval || (hasPeerAnswer && contenders > maxRacingContenders) {
		return false
	}
	c.racedAt = now
	c.storeCalls++
	return true
}
