package gateway

import (
	"maps"
	"slices"
	"sync"
)

// jobSet is a set of requests in flight. The zero value is empty and safe for concurrent use.
type jobSet struct {
	mutex sync.Mutex
	jobs  map[*job]struct{}
}

// add adds a request.
func (s *jobSet) add(j *job) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.jobs == nil {
		s.jobs = map[*job]struct{}{}
	}
	s.jobs[j] = struct{}{}
}

// remove removes a request.
func (s *jobSet) remove(j *job) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.jobs, j)
}

// len returns the number of requests.
func (s *jobSet) len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.jobs)
}

// all returns the requests, in no order.
func (s *jobSet) all() []*job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.jobs))
}
