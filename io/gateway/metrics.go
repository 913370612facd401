package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"headcourse/core/request"
	"headcourse/io/exposition"
)

// Prefixes of counter names, each completed by a reason.
const (
	countRefused   = "requests_refused."
	countRetried   = "requests_sent_again."
	countFailed    = "requests_failed."
	countResumed   = "streams_resumed."
	countSucceeded = "requests_done."
	// countAwaitedViews is completed by whether the view was confirmed.
	countAwaitedViews = "views_awaited."
	countYielding     = "requests_yielding."
	// countEnds is completed by the framing of the answer, countTruncated by the verdict on its end.
	countEnds      = "answers_ended."
	countTruncated = "answers_truncated."
)

// countInvalidAnswers counts the answers of servers that were none.
const countInvalidAnswers = "answers_invalid"

// Names of histograms, in milliseconds.
const (
	timeFirstEvent      = "first_event_ms"
	timeCompleteAnswer  = "whole_answer_ms"
	timeLongestEventGap = "longest_pause_ms"
	timeDeferred        = "deferred_ms"
	// timeViewAgeAtRefusal is the age of the configuration by which a request was refused as unknown.
	timeViewAgeAtRefusal = "view_age_at_refusal_ms"
)

// count increments the counter of a prefix and reason.
func (s *Server) count(prefix string, reason request.Reason) {
	metrics.GetOrRegisterCounter(prefix+string(reason), s.registry).Inc(1)
}

// observe records a duration in a histogram.
func (s *Server) observe(name string, took time.Duration) {
	exposition.ObserveDuration(s.registry, name, took)
}
