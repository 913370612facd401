package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// Requests that crash servers.
const (
	// crashingRequestInterval is the time between two repeats of a request. It is short
	// because real clients repeat at once.
	crashingRequestInterval = 60 * time.Millisecond
	// After crashThreshold servers crashed under a request, all daemons must quarantine it
	// within crashReportTime. It may crash maxCrashesAfterThreshold more servers even then.
	crashThreshold           = 3
	maxCrashesAfterThreshold = 3
	crashReportTime          = 2 * time.Second
)

// sendCrashingRequests repeats a request that crashes each server that starts to run it,
// through each daemon in turn.
func sendCrashingRequests(s *soak) func() {
	index := len(s.crashingPaths)
	path := []string{standin.PathSafe, standin.PathUnsafe, standin.PathSmall}[index%3] + fmt.Sprintf("%d/%s", index, standin.CrashingSegment)
	s.crashingPaths = append(s.crashingPaths, path)
	ctx, stop := context.WithCancel(context.Background())
	s.crashingSenders.Go(func() {
		for turn := index; ctx.Err() == nil; turn++ {
			s.sendCrashingRequest(ctx, turn%len(s.daemons), path)
			time.Sleep(crashingRequestInterval)
		}
	})
	return stop
}

// sendCrashingRequest sends a request that crashes servers to one daemon.
func (s *soak) sendCrashingRequest(ctx context.Context, daemonIndex int, path string) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[daemonIndex].clientProxy.Address(),
		Key:      standin.KeyLoja,
	}
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	headers := map[string]string{}
	if path[:len(standin.PathSmall)] == standin.PathSmall {
		headers[wire.HeaderModel] = standin.ModelSmall
		headers[wire.HeaderTokens] = "100,40"
	}
	client.Send(ctx, http.MethodPost, path, headers, "what no server survives")
}

// checkCrashingRequests sends each request that crashed crashThreshold servers to every daemon
// again, and returns a failure for each that crashes more than maxCrashesAfterThreshold further
// servers. A daemon that is killed may lose its report of a crash, so the users' rule and this
// check allow a few more crashes.
func (s *soak) checkCrashingRequests() []string {
	s.crashingSenders.Wait()
	time.Sleep(crashReportTime)
	var failures []string
	for _, path := range s.crashingPaths {
		before := s.platform.Crashes(path)
		if before < crashThreshold {
			continue
		}
		const rounds = 2
		for range rounds {
			for i := range s.daemons {
				s.sendCrashingRequest(context.Background(), i, path)
			}
		}
		after := s.platform.Crashes(path)
		s.logf("%d servers crashed under %s, then %d more", before, path, after-before)
		if after-before > maxCrashesAfterThreshold {
			failures = append(failures, fmt.Sprintf("%s crashed %d servers after %d had crashed under it", path, after-before, before))
		}
	}
	// The checks that follow set directives on servers, and a restart would drop these.
	s.platform.AwaitRestarts()
	return failures
}
