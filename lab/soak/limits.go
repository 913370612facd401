package soak

import (
	"math"
	"time"

	"headcourse/lab/standin"
)

// Range of the limits that servers announce, in requests per second, and of the time for which
// they announce them. The check counts requests from three seconds after the first
// announcement, over windows of four seconds.
const (
	minLimit, maxLimit         = 0.3, 20.0
	minLimitTime, maxLimitTime = 6 * time.Second, 12 * time.Second
)

// limitSteps is the number of limits that a server announces one after the other.
const limitSteps = 6

// pollInterval is the time between two looks for a change.
const pollInterval = 20 * time.Millisecond

// setLimits makes one, half or all servers of a service announce limits: either one limit for
// all of them or a separate limit for each. The limits stay constant, fall or rise.
func setLimits(s *soak) func() {
	chosen := s.randomServers()
	isSame := s.random.IntN(2) == 0
	limit := s.randomLimit()
	// factor is the ratio of each limit to the previous one.
	factor := []float64{1, 0.6, 1.6}[s.random.IntN(3)]
	duration := s.randomDuration(minLimitTime, maxLimitTime)
	for _, server := range chosen {
		if !isSame {
			limit = s.randomLimit()
		}
		server.SetLimit(limit)
		for step := 1; step < limitSteps; step++ {
			nextLimit := min(max(minLimit, limit*math.Pow(factor, float64(step))), maxLimit)
			s.schedule(duration*time.Duration(step)/limitSteps, func() { server.UpdateLimit(nextLimit) })
		}
		s.schedule(duration, server.ClearLimit)
	}
	return nil
}

// schedule runs an action after a delay, unless the faults end before that.
func (s *soak) schedule(delay time.Duration, action func()) {
	s.timers = append(s.timers, time.AfterFunc(delay, action))
}

// randomServingServers returns one or all of the plain servers or of the heads of one model.
// Members of groups that are not heads receive no requests. It waits for servingTimeout until there
// is one, since a group may end at any time and form anew, and then returns none.
func (s *soak) randomServingServers() []*standin.Server {
	kind := s.random.IntN(3)
	isOne := s.random.IntN(2) == 0
	var serving []*standin.Server
	for began := time.Now(); len(serving) == 0 && time.Since(began) < servingTimeout; {
		serving = [][]*standin.Server{
			s.platform.Servers(standin.ServicePlain),
			s.platform.Heads(standin.ModelSmall),
			s.platform.Heads(standin.ModelLarge),
		}[kind]
		if len(serving) == 0 {
			time.Sleep(pollInterval)
		}
	}
	if isOne {
		return serving[:min(1, len(serving))]
	}
	return serving
}

// randomLimit returns a random limit, uniform on a logarithmic scale.
func (s *soak) randomLimit() float64 {
	return minLimit * math.Pow(maxLimit/minLimit, s.random.Float64())
}

// randomServers returns one, half (rounded up) or all of the servers of a random service.
func (s *soak) randomServers() []*standin.Server {
	service := []string{standin.ServicePlain, standin.ServiceModel}[s.random.IntN(2)]
	servers := s.platform.Servers(service)
	switch s.random.IntN(3) {
	case 0:
		return servers[:1]
	case 1:
		return servers[:(len(servers)+1)/2]
	default:
		return servers
	}
}

// checkedLimitTime is how long servers announce limits after the faults: longer than the time
// from which requests count plus one window of the check.
const checkedLimitTime = 9 * time.Second

// checkLimits makes some servers announce limits without other faults, since faults exempt
// daemons from the check for most of the time. It returns a failure if no daemon received a
// limit, or if a daemon does not serve after the limits end. The stand-in records requests
// beyond the limits as violations.
func (s *soak) checkLimits() []string {
	before := s.platform.DirectiveCounts()
	chosen := s.randomServingServers()
	if len(chosen) == 0 {
		return []string{"a model has no open and complete group for " + servingTimeout.String() + " without faults"}
	}
	limit := s.randomLimit()
	// One answer is enough for all daemons to avoid a server. Whether the daemon read it is known only if its client
	// does not cancel the request.
	s.cancelsNone.Store(true)
	time.Sleep(cancelTime)
	for _, server := range chosen {
		server.SetLimit(limit)
	}
	began := time.Now()
	for s.platform.DirectiveCounts().LimitsReceived == before.LimitsReceived && time.Since(began) < checkedLimitTime {
		time.Sleep(pollInterval)
	}
	s.cancelsNone.Store(false)
	time.Sleep(checkedLimitTime - time.Since(began))
	for _, server := range chosen {
		server.ClearLimit()
	}
	after := s.platform.DirectiveCounts()
	s.logf("%d servers announced a limit of %.2f requests a second, the first is %s: %d requests of daemons that had received the limit", len(chosen), limit, chosen[0].ID(), after.LimitedRequests-before.LimitedRequests)
	failures := s.awaitServing("the end of limits")
	if after.LimitsReceived == before.LimitsReceived {
		failures = append(failures, "no daemon received a limit")
	}
	return failures
}
