package config

import (
	"time"

	"headcourse/core/usage"
)

// Sizing: how many groups a model needs, given the timings of its engines.
//
// A group works in passes. In each pass it first reads up to one chunk of the pending
// prompts (prefill), and then generates a few tokens for every running request. A pass
// gets longer with each running request and with each prompt token read. Both effects
// add up, so that close to the limit a little more demand delays all requests.
//
// The model has enough groups if a request that arrives in the middle of a pass, behind
// the prompts queued before it, still gets its first event well within its goal, and if
// random bursts do not take all slots of a group.

const (
	// firstEventGoalFraction is the part of the goal within which the first event is expected
	// for the request that the mean prompt token belongs to. With prompts of up to four times
	// the mean size, the rest of the goal is a margin for requests that arrive at an
	// unfavourable moment.
	firstEventGoalFraction = 0.53
	// minIdleMultiple is the lower bound of the permitted time to the first event, as a multiple
	// of that at an idle group. If reading the prompt alone takes most of the goal, no number
	// of groups would meet a tighter bound.
	minIdleMultiple = 1.25
	// maxSlotsOnTime is the mean part of the slots that may be in use. Daemons spread requests
	// evenly, but requests arrive at random: with 34 of 48 slots in use, a burst of two
	// standard deviations still finds a free slot.
	maxSlotsOnTime = 0.7
	// maxSlotsStable and maxPrefillStable are the parts of the slots and of the prefill capacity
	// in use above which random bursts alone make requests queue.
	maxSlotsStable   = 0.88
	maxPrefillStable = 0.95
	// maxPrefillOnTime is the maximum part of the prefill capacity that may be in use for a
	// group to have spare capacity.
	maxPrefillOnTime = 0.8
	// bisectionSteps is the number of steps of the search for the number of groups.
	bisectionSteps = 30
)

// groupLoad is the expected load of one group.
type groupLoad struct {
	// isStable is false if the queue of the group grows without bound.
	isStable bool
	// slots is the part of the slots in use. prefill is the part of the prefill capacity in
	// use, while tokens are generated too. firstEvent is the time to the first event.
	slots      float64
	prefill    float64
	firstEvent time.Duration
}

// hasTimings reports whether the configuration contains the timings that GroupsNeeded needs.
func (e *Engine) hasTimings() bool {
	return e.StepTime > 0 && e.Capacity > 0
}

// GroupsNeeded are numbers of groups that a model needs, not rounded.
type GroupsNeeded struct {
	// MinStable is the number that keeps up with the demand: with fewer, queues grow.
	MinStable float64
	// OnTime is the number that serves the demand within its goals.
	OnTime float64
}

// GroupsNeeded returns how many groups of a model are needed for a demand; ok is false if the
// configuration lacks timings of the engine.
func (e *Engine) GroupsNeeded(model Model, demand usage.Rate) (groups GroupsNeeded, ok bool) {
	if !e.hasTimings() {
		return GroupsNeeded{}, false
	}
	if demand.Prompt <= 0 && demand.Answer <= 0 {
		return GroupsNeeded{}, true
	}
	return GroupsNeeded{
		MinStable: smallestSufficient(func(groups float64) bool {
			return e.isStableWith(model, demand, groups)
		}),
		OnTime: smallestSufficient(func(groups float64) bool {
			return e.isOnTimeWith(model, demand, groups)
		}),
	}, true
}

// smallestSufficient returns the smallest sufficient number, by bisection. All numbers above a
// sufficient one must be sufficient.
func smallestSufficient(isSufficient func(number float64) bool) float64 {
	upper := 1.0
	for !isSufficient(upper) {
		upper += upper
	}
	lower := 0.0
	for range bisectionSteps {
		middle := (lower + upper) / 2
		if isSufficient(middle) {
			upper = middle
		} else {
			lower = middle
		}
	}
	return upper
}

// isStableWith reports whether a number of groups keeps up with the demand.
func (e *Engine) isStableWith(model Model, demand usage.Rate, groups float64) bool {
	load := e.estimateLoad(model, demand.Scale(1/groups))
	return load.isStable && load.slots <= maxSlotsStable && load.prefill <= maxPrefillStable
}

// isOnTimeWith reports whether a number of groups serves the demand within its goals.
func (e *Engine) isOnTimeWith(model Model, demand usage.Rate, groups float64) bool {
	load := e.estimateLoad(model, demand.Scale(1/groups))
	if !load.isStable || load.slots > maxSlotsOnTime || load.prefill > maxPrefillOnTime {
		return false
	}
	goal := demand.MeanGoal()
	idle := e.estimateLoad(model, demand.Scale(epsilon))
	maxFirstEvent := max(time.Duration(firstEventGoalFraction*float64(goal)), time.Duration(minIdleMultiple*float64(idle.firstEvent)))
	return goal <= 0 || load.firstEvent <= maxFirstEvent
}

// Utilisation is the expected use of the groups of a model.
type Utilisation struct {
	// Slots is the part of the slots in use, Prefill the part of the prefill capacity. Both are
	// 0 if the groups are not stable.
	Slots   float64
	Prefill float64
	// IsStable is false if the queues of the groups grow without bound.
	IsStable bool
}

// Utilisation returns the use of a number of groups, not rounded, by a demand that is divided
// evenly over them; ok is false if the configuration lacks timings of the engine. Without groups,
// any demand is unstable.
func (e *Engine) Utilisation(model Model, demand usage.Rate, groups float64) (utilisation Utilisation, ok bool) {
	if !e.hasTimings() {
		return Utilisation{}, false
	}
	if demand.Prompt <= 0 && demand.Answer <= 0 {
		return Utilisation{
			IsStable: true,
		}, true
	}
	if groups <= 0 {
		return Utilisation{}, true
	}
	load := e.estimateLoad(model, demand.Scale(1/groups))
	return Utilisation{
		Slots:    load.slots,
		Prefill:  load.prefill,
		IsStable: load.isStable,
	}, true
}

// epsilon is the part of the demand that stands for the load of an idle group, and the
// smallest divisor of the queueing formula.
const epsilon = 1e-6

// estimateLoad returns the expected load of one group that gets all of the demand.
func (e *Engine) estimateLoad(model Model, demand usage.Rate) groupLoad {
	timeFactor := model.TimeFactor
	if timeFactor <= 0 {
		timeFactor = 1
	}
	tokensPerPass := float64(max(1, e.TokensPerEvent))
	stepSeconds := timeFactor * e.StepTime.Seconds()
	stepSecondsPerRequest := timeFactor * e.StepTimePerRequest.Seconds()
	readSecondsPerToken := 0.0
	if e.PrefillTokensPerSecond > 0 {
		readSecondsPerToken = timeFactor / e.PrefillTokensPerSecond
	}
	spareFraction := 1 - demand.Prompt*readSecondsPerToken - demand.Answer*stepSecondsPerRequest
	if spareFraction <= 0 {
		return groupLoad{}
	}
	passSeconds := tokensPerPass * stepSeconds / spareFraction
	generatingRequests := demand.Answer * passSeconds / tokensPerPass
	generationSeconds := tokensPerPass * (stepSeconds + stepSecondsPerRequest*generatingRequests)
	estimate := groupLoad{
		isStable: true,
		slots:    generatingRequests / float64(e.Capacity),
	}
	firstEventSeconds := passSeconds/halfDivisor + generationSeconds
	if e.PrefillChunkTokens > 0 && demand.Prompt > 0 {
		secondsPerPromptToken := readSecondsPerToken + generationSeconds/float64(e.PrefillChunkTokens)
		estimate.prefill = demand.Prompt * secondsPerPromptToken
		firstEventSeconds += demand.TypicalPrompt() * secondsPerPromptToken
		// The mean wait in a queue with varying service times (Pollaczek-Khinchine formula).
		firstEventSeconds += demand.PromptSquares * secondsPerPromptToken * secondsPerPromptToken / (halfDivisor * max(epsilon, 1-estimate.prefill))
	}
	estimate.firstEvent = time.Duration(firstEventSeconds * float64(time.Second))
	return estimate
}

// halfDivisor is the divisor for half a pass, the mean time until the next pass begins, and of
// the Pollaczek-Khinchine formula.
const halfDivisor = 2
