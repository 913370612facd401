package soak

import (
	"time"

	"headcourse/lab/standin"
)

// Pauses that servers ask for.
const leastPause, mostPause = 200 * time.Millisecond, 20 * time.Second

// Times for which a daemon is not blamed for what it was told before: killTime until it has
// ended, stopTime until it has stopped in order.
const (
	killTime = 1500 * time.Millisecond
	stopTime = 6 * time.Second
)

// askForPauses has some servers of a service turn requests away for a while, all in step or
// each with a pause of its own.
func askForPauses(s *soak) func() {
	chosen := s.someServers()
	isInStep := s.random.IntN(2) == 0
	pause := s.between(leastPause, mostPause)
	for _, one := range chosen {
		if !isInStep {
			pause = s.between(leastPause, mostPause)
		}
		one.AskForPauses(pause)
	}
	return func() {
		for _, one := range chosen {
			one.AskForPauses(0)
		}
	}
}

// leaveByAnswers has a plain server leave without a word in its entry, and starts another.
func leaveByAnswers(s *soak) func() {
	servers := s.platform.Servers(standin.ServicePlain)
	s.replace(servers[s.random.IntN(len(servers))], (*standin.Server).LeaveByAnswersAlone)
	return nil
}

// excuse has a daemon not blamed for a time for what servers told it before; all where it is
// nil.
func (s *soak) excuse(one *daemon, length time.Duration) {
	end := s.beginExcuse(one)
	time.AfterFunc(length, end)
}

// beginExcuse is excuse until its end is called.
func (s *soak) beginExcuse(one *daemon) (end func()) {
	name := ""
	if one != nil {
		name = one.name
	}
	s.platform.Excuse(name, 1)
	return func() { s.platform.Excuse(name, -1) }
}
