package overload

import "time"

const (
	// excessTime is the time within which requests that were sent beyond the capacity are served by
	// reducing the fraction with priority.
	excessTime = 500 * time.Millisecond
	// maxExcessTime limits the excess, as a time at the full capacity: clients abandon a stream after
	// 2 s of silence, so that no more requests than that wait at the heads.
	maxExcessTime = 2 * time.Second
	// minPriorityShare is the part of the permitted fraction that the excess leaves.
	minPriorityShare = 0.1
)

// excess estimates how many requests with priority are at the heads. Totals are about 0.5 s old,
// and heads serve requests of one level in the order of arrival. Unless the fraction is reduced, the
// requests that arrived before a burst was known delay all later ones with priority for seconds.
type excess struct {
	// present is the number of requests at the heads, running or waiting.
	present float64
	// waiting is how many of them exceed what the heads run at their capacity.
	waiting float64
}

// after returns the excess after elapsed seconds in which requests were sent at a rate.
func (e excess) after(elapsed, sentRate float64, heads capacity) excess {
	if heads.running <= 0 {
		// The capacity is not known before the first demand.
		return excess{}
	}
	servedRate := heads.requests * min(1, e.present/heads.running)
	present := max(0, e.present+(sentRate-servedRate)*elapsed)
	present = min(present, heads.running+maxExcessTime.Seconds()*heads.requests)
	return excess{
		present: present,
		waiting: max(0, present-heads.running),
	}
}

// reduced returns the fraction with priority, reduced so that the heads catch up.
func (e excess) reduced(permitted, demand float64) float64 {
	if demand <= 0 {
		return permitted
	}
	reduction := e.waiting / excessTime.Seconds() / demand
	return max(minPriorityShare*permitted, permitted-reduction)
}

// isServed reports whether no more requests wait than heads serve at once.
func (e excess) isServed(heads capacity) bool {
	return e.waiting <= smallestBacklog.Seconds()*heads.requests
}

// scaled returns the excess after a part of the heads was lost with their requests.
func (e excess) scaled(kept float64) excess {
	return excess{
		present: kept * e.present,
		waiting: kept * e.waiting,
	}
}
