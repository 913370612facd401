package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"headcourse/core/request"
	"headcourse/io/exposition"
)

// Prefixes of counters; a reason follows.
const (
	countRefused   = "requests_refused."
	countSentAgain = "requests_sent_again."
	countFailed    = "requests_failed."
	countResumed   = "streams_resumed."
	countDone      = "requests_done."
	countYielding  = "requests_yielding."
)

// Names of histograms, in milliseconds.
const (
	timeFirstEvent  = "first_event_ms"
	timeWholeAnswer = "whole_answer_ms"
	timePause       = "longest_pause_ms"
)

// count adds one to a counter.
func (s *Server) count(prefix string, reason request.Reason) {
	metrics.GetOrRegisterCounter(prefix+string(reason), s.registry).Inc(1)
}

// observe adds a time to a histogram, in milliseconds.
func (s *Server) observe(name string, took time.Duration) {
	exposition.Observe(s.registry, name, took)
}
