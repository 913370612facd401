// Package usage learns how large the requests of each model are.
//
// How much of an engine's time a request takes depends on what is read and what is
// written for it, and both differ much between models and change with what callers
// ask. The operator's configuration tells one mean for all models; what a daemon has
// seen of its own requests tells more.
package usage

import "sync"

// Figures of the estimates.
const (
	// weight is the part of a new request in the mean, once that is of many: sizes spread
	// widely. Before, each of the first requests counts alike: a daemon among hundreds is
	// asked for a model once in two seconds, and would go by its first request all day.
	weight = 0.02
	// leastSeen requests must have been seen for the mean to say more than the operator.
	leastSeen = 5
	// mostModels bounds the models that are remembered; clients name them freely.
	mostModels = 256
)

// Size is the mean size of requests, in tokens.
type Size struct {
	Prompt float64
	Answer float64
}

// Sizes are the mean sizes of requests by model. The zero value knows none; it is safe
// for concurrent use.
type Sizes struct {
	mutex  sync.Mutex
	models map[string]seen
}

// seen is the mean size of the requests of a model, and how many they were.
type seen struct {
	mean  Size
	count float64
}

// Note notes the size of a request that was answered whole.
func (s *Sizes) Note(model string, size Size) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.models[model]
	if !ok && (s.models == nil || len(s.models) >= mostModels) {
		s.models = map[string]seen{}
	}
	known.count++
	part := max(weight, 1/known.count)
	known.mean.Prompt += part * (size.Prompt - known.mean.Prompt)
	known.mean.Answer += part * (size.Answer - known.mean.Answer)
	s.models[model] = known
}

// Of returns the mean size of a model's requests, or usual where too few were seen.
func (s *Sizes) Of(model string, usual Size) Size {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.models[model]; known.count >= leastSeen {
		return known.mean
	}
	return usual
}
