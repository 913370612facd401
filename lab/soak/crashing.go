package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// Figures of requests that crash servers.
const (
	// crashPause is the time between two repeats of one: clients repeat at once.
	crashPause = 60 * time.Millisecond
	// endsKnown is how many servers may end under a request before all daemons must hold
	// it, sendsLeft how often it may be sent even then, and knownWithin when.
	endsKnown   = 3
	sendsLeft   = 3
	knownWithin = 2 * time.Second
)

// crashServers has a request come again and again, through one daemon after the other,
// which crashes each server that begins to run it.
func crashServers(s *soak) func() {
	number := len(s.crashing)
	path := []string{standin.PathSafe, standin.PathUnsafe, standin.PathSmall}[number%3] + fmt.Sprintf("%d/%s", number, standin.NameCrashing)
	s.crashing = append(s.crashing, path)
	ctx, stop := context.WithCancel(context.Background())
	s.crashers.Go(func() {
		for turn := number; ctx.Err() == nil; turn++ {
			s.askCrashing(ctx, turn%len(s.daemons), path)
			time.Sleep(crashPause)
		}
	})
	return stop
}

// askCrashing sends a request that crashes servers to one daemon.
func (s *soak) askCrashing(ctx context.Context, daemon int, path string) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[daemon].entry.Address(),
		Key:      standin.KeyTwo,
	}
	const patience = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	headers := map[string]string{}
	if path[:len(standin.PathSmall)] == standin.PathSmall {
		headers[wire.HeaderModel] = standin.ModelSmall
		headers[wire.HeaderTokens] = "100,40"
	}
	client.Ask(ctx, http.MethodPost, path, headers, "what no server survives")
}

// checkCrashing sends each request under which servers ended again, to every daemon, and
// returns those that are still sent on. Words of ends may be lost with a daemon that is
// killed at that moment, so a few sends are allowed, as they are in the users' rule.
func (s *soak) checkCrashing() []string {
	s.crashers.Wait()
	time.Sleep(knownWithin)
	var broken []string
	for _, path := range s.crashing {
		before := s.platform.Crashes(path)
		if before < endsKnown {
			continue
		}
		const rounds = 2
		for range rounds {
			for i := range s.daemons {
				s.askCrashing(context.Background(), i, path)
			}
		}
		after := s.platform.Crashes(path)
		s.say("%d servers ended under %s, then %d more", before, path, after-before)
		if after-before > sendsLeft {
			broken = append(broken, fmt.Sprintf("%s ended %d servers after %d had ended under it", path, after-before, before))
		}
	}
	// A start forgets what the checks that follow have a server say.
	s.platform.AwaitRestarts()
	return broken
}
