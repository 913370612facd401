package config

import (
	"time"

	"headcourse/core/usage"
)

// How many groups a model needs, by how its engines work.
//
// A group works in passes: it reads up to a chunk of the prompts that wait, and then
// writes a few tokens for all requests that write. A pass takes the longer the more
// requests write, and the more is read, so that both add up: near the bound a little more
// makes all of them wait. So the need is where a request that comes in the middle of a
// pass, after those that came before it, still begins well within its goal, and where
// chance does not fill the places.

// Figures of a group's room.
const (
	// goalPart is the part of the goal within which the mean token's request is to begin.
	// Prompts of up to four times the mean leave the other half to those that come badly.
	goalPart = 0.53
	// leastSpare is how many times longer than at an idle group the first event may take
	// at least: where reading the prompt alone takes most of the goal, groups without end
	// would not help.
	leastSpare = 1.25
	// fullPlaces is the part of the places that may be taken on the mean. Daemons spread
	// requests evenly, but they come by chance: of 48 places 34, so that two standard
	// deviations more still find one.
	fullPlaces = 0.7
	// mostPlaces and mostReading are the parts from which on chance alone makes requests
	// wait for each other.
	mostPlaces  = 0.88
	mostReading = 0.95
	// fullReading is the part of the time in which a group reads while it has room.
	fullReading = 0.8
	// halvings is how often the interval is halved in which the need lies.
	halvings = 30
)

// load is how one group works that is asked a part of all.
type load struct {
	// isStable tells that it keeps up at all.
	isStable bool
	// places is the part of its places that are taken, reading the part of what it could
	// read while it writes; first is the time to the first event.
	places  float64
	reading float64
	first   time.Duration
}

// isTold tells whether the operator told enough of the engine for Groups.
func (e *Engine) isTold() bool {
	return e.Step > 0 && e.Capacity > 0
}

// Groups is how many groups of a model it takes, not rounded.
type Groups struct {
	// Least keep up with what is asked: with fewer, requests wait ever longer.
	Least float64
	// InTime serve it in time.
	InTime float64
}

// Groups returns how many groups of a model it takes to serve what is asked; ok is false
// where too little is told of the engine.
func (e *Engine) Groups(model Model, asked usage.Rate) (groups Groups, ok bool) {
	if !e.isTold() {
		return Groups{}, false
	}
	if asked.Prompt <= 0 && asked.Answer <= 0 {
		return Groups{}, true
	}
	return Groups{
		Least: fewest(func(groups float64) bool {
			return e.keepsUp(model, asked, groups)
		}),
		InTime: fewest(func(groups float64) bool {
			return e.isInTime(model, asked, groups)
		}),
	}, true
}

// fewest returns the least number that is enough, where all larger ones are.
func fewest(isEnough func(number float64) bool) float64 {
	enough := 1.0
	for !isEnough(enough) {
		enough += enough
	}
	few := 0.0
	for range halvings {
		middle := (few + enough) / 2
		if isEnough(middle) {
			enough = middle
		} else {
			few = middle
		}
	}
	return enough
}

// keepsUp tells whether so many groups keep up with what is asked.
func (e *Engine) keepsUp(model Model, asked usage.Rate, groups float64) bool {
	one := e.loadOf(model, asked.Times(1/groups))
	return one.isStable && one.places <= mostPlaces && one.reading <= mostReading
}

// isInTime tells whether so many groups serve what is asked in time.
func (e *Engine) isInTime(model Model, asked usage.Rate, groups float64) bool {
	one := e.loadOf(model, asked.Times(1/groups))
	if !one.isStable || one.places > fullPlaces || one.reading > fullReading {
		return false
	}
	goal := asked.Goal()
	idle := e.loadOf(model, asked.Times(tiny))
	bound := max(time.Duration(goalPart*float64(goal)), time.Duration(leastSpare*float64(idle.first)))
	return goal <= 0 || one.first <= bound
}

// tiny is the part of what is asked that an idle group would be asked.
const tiny = 1e-6

// loadOf returns how a group works that is asked so much.
func (e *Engine) loadOf(model Model, asked usage.Rate) load {
	pace := model.Pace
	if pace <= 0 {
		pace = 1
	}
	stride := float64(max(1, e.TokensPerEvent))
	step := pace * e.Step.Seconds()
	stepPerRequest := pace * e.StepPerRequest.Seconds()
	readTime := 0.0
	if e.ReadPerSecond > 0 {
		readTime = pace / e.ReadPerSecond
	}
	left := 1 - asked.Prompt*readTime - asked.Answer*stepPerRequest
	if left <= 0 {
		return load{}
	}
	pass := stride * step / left
	writing := asked.Answer * pass / stride
	steps := stride * (step + stepPerRequest*writing)
	known := load{
		isStable: true,
		places:   writing / float64(e.Capacity),
	}
	first := pass/half + steps
	if e.Chunk > 0 && asked.Prompt > 0 {
		tokenTime := readTime + steps/float64(e.Chunk)
		known.reading = asked.Prompt * tokenTime
		first += asked.Typical() * tokenTime
		// The mean wait in a queue with sizes that differ (Pollaczek and Khinchine).
		first += asked.Squares * tokenTime * tokenTime / (half * max(tiny, 1-known.reading))
	}
	known.first = time.Duration(first * float64(time.Second))
	return known
}

// half divides a pass, in the middle of which requests come on the mean.
const half = 2
