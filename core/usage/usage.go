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
	// weight is the part of a new request in the mean: sizes spread widely, and some
	// hundred requests of a model come in a second or two.
	weight = 0.02
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
	models map[string]Size
}

// Note notes the size of a request that was answered whole.
func (s *Sizes) Note(model string, size Size) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.models[model]
	if !ok {
		if s.models == nil || len(s.models) >= mostModels {
			s.models = map[string]Size{}
		}
		known = size
	}
	known.Prompt += weight * (size.Prompt - known.Prompt)
	known.Answer += weight * (size.Answer - known.Answer)
	s.models[model] = known
}

// Of returns the mean size of a model's requests, or usual where none was seen.
func (s *Sizes) Of(model string, usual Size) Size {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, ok := s.models[model]; ok {
		return known
	}
	return usual
}
