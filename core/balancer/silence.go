package balancer

import "time"

// Phase is what a request waits for.
type Phase int

// The phases: the first event or the answer, and the next event.
const (
	First Phase = iota
	Pause
)

// silenceKey names silences that are alike.
type silenceKey struct {
	kind  string
	phase Phase
}

// estimate is a running mean and mean deviation, as TCP keeps them for its
// round trips (Jacobson 1988).
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

// Figures of limits.
const (
	// gain and deviationGain are the parts of a new sample in the mean and in
	// the mean deviation.
	gain          = 0.05
	deviationGain = 0.1
	// restDeviations and moveDeviations are how many mean deviations above the
	// mean a silence is unusual, and surely no usual one.
	restDeviations = 8
	moveDeviations = 20
	// leastSamples must be there before the estimate is believed.
	leastSamples = 10
)

// Bounds of limits. An engine's first event takes 120 ms and more, and reading
// a long prompt for another request holds up all events for 50 ms.
const (
	leastRest   = 100 * time.Millisecond
	leastMove   = 350 * time.Millisecond
	longestMove = 1500 * time.Millisecond
	usualRest   = 500 * time.Millisecond
	usualMove   = 1000 * time.Millisecond
)

// Limits are the silences after which a server is rested, and a request moved.
type Limits struct {
	Rest time.Duration
	Move time.Duration
}

// Step is what a silence calls for.
type Step int

// The steps: to wait on, to rest the server, and to move the request as well.
const (
	Wait Step = iota
	Rest
	Move
)

// askAgain is how often a silent server's group is looked up among those that are told
// to stand still.
const askAgain = 50 * time.Millisecond

// Step returns what a silence calls for, and when to look again. isStill tells that
// another daemon has found that the server's group has lost a member: then nothing is
// waited for any longer, so that a request which came after the loss may still be in
// time elsewhere. A daemon among hundreds knows the usual silences of rare requests
// late, and would wait for usualMove.
func (l Limits) Step(silent time.Duration, isStill bool) (step Step, again time.Duration) {
	switch {
	case silent < l.Rest:
		return Wait, l.Rest - silent
	case silent < l.Move && !isStill:
		return Rest, min(l.Move-silent, askAgain)
	default:
		return Move, l.Move
	}
}

// Silence notes how long a server that is well was silent.
func (t *Tracker) Silence(kind string, phase Phase, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.silences == nil {
		t.silences = map[silenceKey]*estimate{}
	}
	key := silenceKey{
		kind:  kind,
		phase: phase,
	}
	known, ok := t.silences[key]
	if !ok {
		known = &estimate{
			mean: took.Seconds(),
		}
		t.silences[key] = known
	}
	off := took.Seconds() - known.mean
	known.mean += gain * off
	known.deviation += deviationGain * (max(off, -off) - known.deviation)
	known.samples++
}

// Limits returns the limits for a kind of server and a phase.
func (t *Tracker) Limits(kind string, phase Phase) Limits {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.silences[silenceKey{
		kind:  kind,
		phase: phase,
	}]
	if known == nil || known.samples < leastSamples {
		return Limits{
			Rest: usualRest,
			Move: usualMove,
		}
	}
	return Limits{
		Rest: known.limit(restDeviations, leastRest),
		Move: known.limit(moveDeviations, leastMove),
	}
}

// limit returns the mean and so many deviations, within bounds.
func (e *estimate) limit(deviations float64, least time.Duration) time.Duration {
	limit := time.Duration((e.mean + deviations*e.deviation) * float64(time.Second))
	return min(max(limit, least), longestMove)
}
