package rowstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// refreshTimeout limits one attempt of a Refresher.
	refreshTimeout = 500 * time.Millisecond
	// minRefreshPause is the pause after the first failed attempt. It doubles with each further one up to
	// Refresher.MaxPause.
	minRefreshPause = 50 * time.Millisecond
	// DefaultRefreshPause is the MaxPause of a Refresher that has none.
	DefaultRefreshPause = 300 * time.Millisecond
)

// Refresher keeps a view from growing old while the regular calls for its table go unanswered: a call that waits for
// changes detects an unresponsive relay only at its end, and the next source is then called after it. A
// Refresher asks several sources at the same time as soon as the view is older than MaxAge, or on request. Use
// NewRefresher.
type Refresher struct {
	// MaxAge is the age of the view from which on it is refreshed. TargetAge is the age below which an attempt
	// counts as successful. Set them before use.
	MaxAge    time.Duration
	TargetAge time.Duration
	// MaxPause limits the pause between failed attempts; 0 means DefaultRefreshPause. Set it before use.
	MaxPause func() time.Duration

	follower *Follower
	source   confirmer
	view     *Freshness
	// requested receives a request for an attempt out of turn.
	requested chan struct{}

	mutex sync.Mutex
	// failures counts consecutive failed attempts, and failedAsOf is the confirmation that the last one left. ended is
	// closed at the end of the current or next attempt.
	failures   int
	failedAsOf time.Time
	ended      chan struct{}
}

// NewRefresher returns a refresher of a follower's table, which is confirmed by source. The follower's callbacks must
// confirm view.
func NewRefresher(follower *Follower, source confirmer, view *Freshness) *Refresher {
	return &Refresher{
		follower:  follower,
		source:    source,
		view:      view,
		requested: make(chan struct{}, 1),
		ended:     make(chan struct{}),
	}
}

// Request asks for an attempt as soon as possible.
func (r *Refresher) Request() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// Run refreshes the view until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(r.untilDue())
		select {
		case <-r.requested:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		age, isKnown := r.view.ViewAge()
		if !isKnown || age <= r.TargetAge {
			continue
		}
		select {
		case <-time.After(r.attempt(ctx)):
		case <-ctx.Done():
		}
	}
}

// untilDue returns the time until the view must be refreshed. Before the first read there is nothing to refresh.
func (r *Refresher) untilDue() time.Duration {
	age, isKnown := r.view.ViewAge()
	if !isKnown {
		return r.MaxAge
	}
	return max(0, r.MaxAge-age)
}

// attempt makes one attempt and returns the pause after it.
func (r *Refresher) attempt(ctx context.Context) time.Duration {
	limited, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	// The age of the view shows whether the attempt was successful, and the next regular call reports the error.
	_ = r.follower.Refresh(limited, r.source)
	isFresh := r.isFresh()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	close(r.ended)
	r.ended = make(chan struct{})
	if isFresh {
		r.failures = 0
		return 0
	}
	if !r.isFailing() {
		r.failures = 0
	}
	r.failedAsOf = r.view.ViewAsOf()
	maxPause := DefaultRefreshPause
	if r.MaxPause != nil {
		maxPause = r.MaxPause()
	}
	pause := min(maxPause, minRefreshPause<<min(r.failures, 10))
	r.failures++
	return pause/2 + rand.N(pause/2+1)
}

// isFailing reports whether the last attempt failed and nothing has confirmed the view since. The mutex must be held.
func (r *Refresher) isFailing() bool {
	return r.failures > 0 && r.failedAsOf.Equal(r.view.ViewAsOf())
}

// Await asks for an attempt and waits until the view is fresh, for at most limit. It returns whether the view is
// fresh. While attempts fail it asks for another one and returns at once.
func (r *Refresher) Await(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	r.mutex.Lock()
	isFailing := r.isFailing()
	ended := r.ended
	r.mutex.Unlock()
	for !r.isFresh() {
		confirmed := r.view.Confirmed()
		r.Request()
		if isFailing {
			return false
		}
		select {
		case <-confirmed:
		case <-ended:
			return r.isFresh()
		case <-timer.C:
			return r.isFresh()
		}
	}
	return r.isFresh()
}

// isFresh reports whether the view is younger than TargetAge.
func (r *Refresher) isFresh() bool {
	age, isKnown := r.view.ViewAge()
	return isKnown && age <= r.TargetAge
}
