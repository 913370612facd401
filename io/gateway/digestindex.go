package gateway

import (
	"sync"

	"headcourse/core/quarantine"
)

// digestIndex finds requests in flight by their digests. The zero value is empty.
type digestIndex struct {
	mutex sync.Mutex
	jobs  map[quarantine.Digest]map[*job]struct{}
}

// add adds a request, which may have been added with fewer digests before.
func (x *digestIndex) add(j *job, digests []quarantine.Digest) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.jobs == nil {
		x.jobs = map[quarantine.Digest]map[*job]struct{}{}
	}
	for _, digest := range digests {
		jobs := x.jobs[digest]
		if jobs == nil {
			jobs = map[*job]struct{}{}
			x.jobs[digest] = jobs
		}
		if _, ok := jobs[j]; !ok {
			jobs[j] = struct{}{}
			j.indexedDigests = append(j.indexedDigests, digest)
		}
	}
}

// remove removes a request, if it is present.
func (x *digestIndex) remove(j *job) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, digest := range j.indexedDigests {
		delete(x.jobs[digest], j)
		if len(x.jobs[digest]) == 0 {
			delete(x.jobs, digest)
		}
	}
	j.indexedDigests = nil
}

// find returns the requests with a digest.
func (x *digestIndex) find(digest quarantine.Digest) []*job {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var jobs []*job
	for j := range x.jobs[digest] {
		jobs = append(jobs, j)
	}
	return jobs
}
