// Package usage estimates the mean size of the requests of each model.
//
// The engine time of a request depends on its prompt and answer tokens. Both differ between
// models and change with the callers' requests. The operator's configuration has one mean for
// all models; the requests that a daemon has observed give a better one.
package usage

import "sync"

const (
	// minGain is the weight of a new request in the mean once there are many requests; a low
	// weight is needed because sizes vary widely. Before that, all requests have equal weights.
	// Otherwise a daemon among hundreds, which gets a request for a model every two seconds,
	// would rely on its first request all day.
	minGain = 0.02
	// minSamples is the number of requests from which the mean is better than the configured
	// one.
	minSamples = 5
	// maxModels is the limit of recorded models, since clients can name any model. A new model
	// beyond it clears the map.
	maxModels = 256
)

// Size is the mean size of requests in tokens.
type Size struct {
	Prompt float64
	Answer float64
}

// SizeEstimator holds the mean request size of each model. The zero value is empty. It is safe for
// concurrent use.
type SizeEstimator struct {
	mutex     sync.Mutex
	estimates map[string]estimate
}

// estimate is the mean request size of a model, with the number of requests.
type estimate struct {
	mean  Size
	count float64
}

// Record records the size of a request that was answered in full.
func (s *SizeEstimator) Record(model string, size Size) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.estimates[model]
	if !ok && (s.estimates == nil || len(s.estimates) >= maxModels) {
		s.estimates = map[string]estimate{}
	}
	known.count++
	gain := max(minGain, 1/known.count)
	known.mean.Prompt += gain * (size.Prompt - known.mean.Prompt)
	known.mean.Answer += gain * (size.Answer - known.mean.Answer)
	s.estimates[model] = known
}

// MeanSize returns the mean request size of a model, or fallback if there are too few samples.
func (s *SizeEstimator) MeanSize(model string, fallback Size) Size {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.estimates[model]; known.count >= minSamples {
		return known.mean
	}
	return fallback
}
