package soak

import (
	"fmt"

	"headcourse/lab/standin"
)

// invalidAnswersRow is the name of the row of faults with servers that write bytes that are no answer.
const invalidAnswersRow = "servers write bytes that are no answer"

// invalidBehaviours are the ways in which bytes are no answer.
var invalidBehaviours = []standin.Behaviour{
	standin.InvalidStatus,
	standin.InvalidField,
	standin.InvalidTrailer,
	standin.CutHead,
}

// writeInvalidAnswers makes some servers of a service write bytes that are no answer.
func writeInvalidAnswers(s *soak) func() {
	chosen := s.randomServers()
	behaviour := invalidBehaviours[s.random.IntN(len(invalidBehaviours))]
	for _, server := range chosen {
		server.SetBehaviour(behaviour)
	}
	return func() {
		for _, server := range chosen {
			server.SetBehaviour(standin.Normal)
		}
	}
}

// checkInvalidAnswers checks that no client gets bytes of servers that are no answer, while all servers of a service write such; the
// stand-in's clients find those that are passed on as a success.
func (s *soak) checkInvalidAnswers() []string {
	if !s.draws(invalidAnswersRow) {
		return nil
	}
	var failures []string
	for _, behaviour := range invalidBehaviours {
		s.setBehaviour(behaviour)
		served, sent := s.sendToAllDaemons()
		s.logf("%d of %d first attempts served by servers that write no answers, kind %d", served, sent, behaviour)
		if served > 0 {
			failures = append(failures, fmt.Sprintf("%d of %d first attempts served by servers that write no answers, kind %d", served, sent, behaviour))
		}
	}
	s.setBehaviour(standin.Normal)
	return append(failures, s.awaitServing("invalid answers")...)
}
