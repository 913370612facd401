package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/standin"
)

// plannedStopRow is the name of the first row of faults with planned stops beside slow bodies.
const plannedStopRow = "daemons stopped by SIGTERM in series, with reloads between"

// Parameters of planned stops.
const (
	// stopGap is the time between two stops of a series: the stops overlap.
	stopGap = 1200 * time.Millisecond
	// slowUploadEvery is how often a client sends a body slowly; maxUploadSteps and uploadStep bound how slowly.
	slowUploadEvery = 9
	maxUploadSteps  = 5
	uploadStep      = 700 * time.Millisecond
	// checkedUploads bodies are on their way when a daemon is stopped by the check, uploadInterval apart. The last one is
	// complete after its daemon has ended.
	checkedUploads = 40
	uploadInterval = 100 * time.Millisecond
	// learnedRequests of each kind tell a daemon how long they take.
	learnedRequests = 12
	// learnedEvents and longEvents are the lengths of streams before a stop, and of some during it.
	learnedEvents = 30
	longEvents    = 280
	// stopHeadStart is the time in which the heads of uploads arrive.
	stopHeadStart = 150 * time.Millisecond
)

// mixedLengthsRow is the name of the row of faults with planned stops beside streams of several lengths on one route.
const mixedLengthsRow = "daemons stopped by SIGTERM in series, beside streams of mixed lengths"

// draws reports whether the seed draws from a row of faults.
func (s *soak) draws(name string) bool {
	return slices.ContainsFunc(s.faults, func(row fault) bool { return row.name == name })
}

// drawsPlannedStops reports whether the seed draws planned stops beside slow bodies.
func (s *soak) drawsPlannedStops() bool {
	return s.draws(plannedStopRow)
}

// smallStreamEvents returns the length of a client's stream of the small model.
func (s *soak) smallStreamEvents(turn int) int {
	const (
		usual   = 8
		kinds   = 4
		step    = 60
		lengths = 4
	)
	if !s.draws(mixedLengthsRow) {
		return usual
	}
	return usual + turn/kinds%lengths*step
}

// uploadTime returns how long a client pauses in the body of a request.
func (s *soak) uploadTime(turn int) time.Duration {
	if !s.drawsPlannedStops() || turn%slowUploadEvery != 0 {
		return 0
	}
	return time.Duration(turn/slowUploadEvery%maxUploadSteps) * uploadStep
}

// stopDaemonsInSeries stops all daemons one after the other, so that stops overlap, each beside a reload.
func stopDaemonsInSeries(s *soak) func() {
	first := s.random.IntN(len(s.daemons))
	for i := range s.daemons {
		d := s.daemons[(first+i)%len(s.daemons)]
		s.schedule(time.Duration(i)*stopGap, func() {
			s.exempt(d, stopExemption)
			s.signalDaemon(d, unix.SIGHUP)
			s.signalDaemon(d, unix.SIGTERM)
		})
	}
	return nil
}

// checkPlannedStops stops all daemons in series, without other faults, while bodies are on their way to them. It returns a
// failure for requests that a server ran and that got no whole answer, and for those that got no answer although their
// body was complete in time.
func (s *soak) checkPlannedStops() []string {
	if !s.drawsPlannedStops() {
		return nil
	}
	failures := s.awaitServing("before planned stops")
	var mutex sync.Mutex
	var stops sync.WaitGroup
	for i := range s.daemons {
		stops.Go(func() {
			time.Sleep(time.Duration(i) * stopGap)
			found := s.checkPlannedStop(i)
			mutex.Lock()
			defer mutex.Unlock()
			failures = append(failures, found...)
		})
	}
	stops.Wait()
	return append(failures, s.awaitServing("planned stops")...)
}

// checkPlannedStop stops one daemon.
func (s *soak) checkPlannedStop(index int) []string {
	d := s.daemons[index]
	for turn := range learnedRequests * len(uploadKinds) {
		s.sendUpload(index, uploadKinds[turn%len(uploadKinds)], 0)
	}
	kinds := s.stopKinds()
	answers := make([]standin.Answer, checkedUploads)
	var uploads sync.WaitGroup
	for i := range answers {
		uploads.Go(func() { answers[i] = s.sendUpload(index, kinds[i%len(kinds)], time.Duration(i)*uploadInterval) })
	}
	time.Sleep(stopHeadStart)
	s.exempt(d, stopExemption)
	s.signalDaemon(d, unix.SIGTERM)
	uploads.Wait()
	var failures []string
	counts := map[string]int{}
	for i, answer := range answers {
		runs := s.platform.Runs(answer.ID)
		isAnswered := answer.Status != 0 && answer.Err == nil
		switch {
		case answer.Status == http.StatusOK && isAnswered:
			counts["served"]++
		case answer.Status == http.StatusServiceUnavailable && runs == 0:
			counts["refused"]++
		case !isAnswered && runs == 0 && time.Duration(i)*uploadInterval > standin.StopTimeout:
			counts["after the end"]++
		default:
			failures = append(failures, fmt.Sprintf("stop of %s: a request whose body took %v ran %d times and ended with status %d, %v",
				d.name, time.Duration(i)*uploadInterval, runs, answer.Status, answer.Err))
		}
	}
	s.logf("stop of %s: %v of %d uploads", d.name, counts, checkedUploads)
	return failures
}

// uploadKind sends a request of checkPlannedStop.
type uploadKind func(ctx context.Context, client *standin.Client) standin.Answer

// streamOf returns a kind of streams with a number of events.
func streamOf(events int) uploadKind {
	return func(ctx context.Context, client *standin.Client) standin.Answer {
		return client.Stream(ctx, standin.ModelSmall, events)
	}
}

// uploadKinds are the kinds from which a daemon learns before it is stopped.
var uploadKinds = []uploadKind{
	streamOf(learnedEvents),
	func(ctx context.Context, client *standin.Client) standin.Answer {
		return client.Send(ctx, http.MethodPost, standin.PathUnsafe+"report", nil, strings.Repeat("valve ", 100))
	},
}

// stopKinds returns the kinds that a daemon gets while it stops. The long streams come on the route of the learned ones.
func (s *soak) stopKinds() []uploadKind {
	if !s.draws(mixedLengthsRow) {
		return uploadKinds
	}
	return append(slices.Clone(uploadKinds), streamOf(longEvents))
}

// sendUpload sends a request whose body takes some time to a daemon, on a connection of its own.
func (s *soak) sendUpload(index int, send uploadKind, takes time.Duration) standin.Answer {
	client := &standin.Client{
		Platform:   s.platform,
		Address:    s.daemons[index].clientProxy.Address(),
		Key:        s.keys.pick(false),
		UploadTime: takes,
	}
	const timeout = 12 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return send(ctx, client)
}
