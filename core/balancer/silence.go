package balancer

import "time"

// Phase is the kind of event that a request waits for.
type Phase int

// The phases are waiting for the first event or the answer, and waiting for the next event.
const (
	PhaseFirstEvent Phase = iota
	PhaseNextEvent
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	return [...]string{"first_event", "next_event"}[p]
}

// silenceKey identifies silences that share one estimate.
type silenceKey struct {
	kind  string
	phase Phase
}

// estimate is a moving average and mean deviation, as in TCP round-trip estimation (Jacobson
// 1988).
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

const (
	// meanGain and deviationGain are the weights of a new sample in the mean and in the mean
	// deviation.
	meanGain      = 0.05
	deviationGain = 0.1
	// ejectDeviations and hedgeDeviations are the numbers of mean deviations above the mean
	// at which a silence is unusual, and surely abnormal.
	ejectDeviations = 8
	hedgeDeviations = 20
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 10
)

// Bounds and defaults of the thresholds. An engine's first event takes 120 ms or more, and
// reading a long prompt for another request delays all events by 50 ms.
const (
	minEjectAfter     = 100 * time.Millisecond
	minHedgeAfter     = 350 * time.Millisecond
	maxThreshold      = 1500 * time.Millisecond
	defaultEjectAfter = 500 * time.Millisecond
	defaultHedgeAfter = 1000 * time.Millisecond
)

// SilenceThresholds are the silences after which a server is ejected, and after which its request is also sent
// to another server.
type SilenceThresholds struct {
	Eject time.Duration
	Hedge time.Duration
}

// Action is the reaction to a silence.
type Action int

// The actions are to wait, to eject the server, and to send the request to another server as well.
const (
	Wait Action = iota
	Eject
	Hedge
)

// recheckInterval is how often the group of a silent server is looked up among those reported
// as stalled.
const recheckInterval = 50 * time.Millisecond

// Action returns the reaction to a silence and the time until the next check. isStalled
// reports that another daemon found a member of the server's group silent. The request is then sent
// to another server without further waiting, so that one that arrived after the loss of a member can
// still meet its deadline there. Without this, a daemon among hundreds has few samples of rare
// requests and would wait for defaultHedgeAfter.
func (s SilenceThresholds) Action(silence time.Duration, isStalled bool) (action Action, recheckAfter time.Duration) {
	switch {
	case silence < s.Eject:
		return Wait, s.Eject - silence
	case silence < s.Hedge && !isStalled:
		return Eject, min(s.Hedge-silence, recheckInterval)
	default:
		return Hedge, s.Hedge
	}
}

// RecordSilence records a silence of a healthy server.
func (t *Tracker) RecordSilence(kind string, phase Phase, silence time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.silenceEstimates == nil {
		t.silenceEstimates = map[silenceKey]*estimate{}
	}
	key := silenceKey{
		kind:  kind,
		phase: phase,
	}
	current, ok := t.silenceEstimates[key]
	if !ok {
		current = &estimate{
			mean: silence.Seconds(),
		}
		t.silenceEstimates[key] = current
	}
	deviation := silence.Seconds() - current.mean
	current.mean += meanGain * deviation
	current.deviation += deviationGain * (max(deviation, -deviation) - current.deviation)
	current.samples++
}

// SilenceThresholds returns the thresholds for a kind of server and a phase.
func (t *Tracker) SilenceThresholds(kind string, phase Phase) SilenceThresholds {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.silenceEstimates[silenceKey{
		kind:  kind,
		phase: phase,
	}]
	if current == nil || current.samples < minSamples {
		return SilenceThresholds{
			Eject: defaultEjectAfter,
			Hedge: defaultHedgeAfter,
		}
	}
	return SilenceThresholds{
		Eject: current.threshold(ejectDeviations, minEjectAfter),
		Hedge: current.threshold(hedgeDeviations, minHedgeAfter),
	}
}

// threshold returns the mean plus the given number of deviations, within bounds.
func (e *estimate) threshold(deviations float64, minimum time.Duration) time.Duration {
	limit := time.Duration((e.mean + deviations*e.deviation) * float64(time.Second))
	return min(max(limit, minimum), maxThreshold)
}
