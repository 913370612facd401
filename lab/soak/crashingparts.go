package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"headcourse/lab/link"
	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// Parts of prompts that crash servers.
const (
	// After crashesUntilCounted servers crashed under a part and partContactTime has passed, at most
	// maxCountedArrivals requests with it may reach servers.
	crashesUntilCounted = 5
	partContactTime     = 900 * time.Millisecond
	maxCountedArrivals  = 3
	// minSoundShare is how often sound requests must be served at their first attempt, as a share of
	// how often they were before.
	minSoundShare = 0.5
	// partCheckTime is how long the check sends requests with a crashing part.
	partCheckTime = 5 * time.Second
	// sharedFirstPart is the first part of the prompts of harmful and of sound requests.
	sharedFirstPart = "a0"
)

// soundParts returns the parts of a sound prompt, of which clients share the first ones.
func soundParts(turn int) string {
	const firstParts, secondParts = 3, 40
	return fmt.Sprintf("a%d:40,b%d:20,f%d:60", turn%firstParts, turn%secondParts, turn)
}

// addCrashingPart makes a new part crash the servers of a random model, or of all, and returns its
// ID.
func (s *soak) addCrashingPart() string {
	id := fmt.Sprintf("dead%d", len(s.crashingParts))
	s.crashingParts = append(s.crashingParts, id)
	s.platform.AddCrashingPart(standin.CrashingPart{
		ID:              id,
		Model:           []string{"", standin.ModelSmall}[s.random.IntN(2)],
		AfterFirstEvent: s.random.IntN(2) == 0,
	})
	return id
}

// sendCrashingParts sends requests that differ in all but one part of their prompts, which crashes
// servers, through each daemon in turn.
func sendCrashingParts(s *soak) func() {
	return s.startCrashingParts(s.addCrashingPart(), s.random.IntN(2) == 0)
}

// startCrashingParts starts to send requests with a crashing part, which is the first one of their
// prompts or follows one that sound requests share. It returns the function that ends it.
func (s *soak) startCrashingParts(id string, isFirst bool) func() {
	ctx, stop := context.WithCancel(context.Background())
	const senders = 2
	for sender := range senders {
		s.crashingSenders.Go(func() {
			for turn := sender; ctx.Err() == nil; turn++ {
				s.sendCrashingPart(ctx, turn%len(s.daemons), id, isFirst, turn)
				time.Sleep(crashingRequestInterval)
			}
		})
	}
	return stop
}

// sendCrashingPart sends a request with a crashing part to one daemon. Its path and its body differ
// by turn.
func (s *soak) sendCrashingPart(ctx context.Context, daemonIndex int, id string, isFirst bool, turn int) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[daemonIndex].clientProxy.Address(),
		Key:      s.keys.pick(false),
	}
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	parts := sharedFirstPart + ":40," + id + ":80"
	if isFirst {
		parts = id + ":80," + sharedFirstPart + ":40"
	}
	client.Send(ctx, http.MethodPost, fmt.Sprintf("%s%s/%d", standin.PathSmall, id, turn), map[string]string{
		wire.HeaderModel:       standin.ModelSmall,
		wire.HeaderTokens:      "100,40",
		wire.HeaderPromptParts: fmt.Sprintf("%s,e%d:60", parts, turn),
	}, fmt.Sprintf("prompt %d", turn))
}

// crashRack makes all servers of a random domain lose power at once.
func crashRack(s *soak) func() {
	s.exempt(nil, killExemption)
	s.platform.CrashRack(standin.Rack(s.random.IntN(soakDomains)))
	return nil
}

// checkCrashingParts checks, without other faults, that requests with a part that crashed servers
// before reach few more, and that the daemons stop a new one while sound requests that share its
// prompts' first part are served.
func (s *soak) checkCrashingParts() []string {
	s.crashingSenders.Wait()
	time.Sleep(crashReportTime)
	var failures []string
	for _, id := range s.crashingParts {
		before := s.platform.PartRecord(id)
		if len(before.Crashes) < crashesUntilCounted {
			continue
		}
		for i := range s.daemons {
			s.sendCrashingPart(context.Background(), i, id, i%2 == 0, i)
		}
		after := s.platform.PartRecord(id)
		arrivals := len(after.Arrivals) - len(before.Arrivals)
		s.logf("%d servers crashed under part %s, then %d more requests with it arrived", len(before.Crashes), id, arrivals)
		if arrivals > maxCountedArrivals {
			failures = append(failures, fmt.Sprintf("%d requests with part %s arrived after %d servers had crashed under it", arrivals, id, len(before.Crashes)))
		}
	}
	s.platform.AwaitRestarts()
	failures = append(failures, s.awaitServing("parts that crash servers")...)
	return append(failures, s.checkNewCrashingPart()...)
}

// checkNewCrashingPart sends requests with a new crashing part through all daemons, one of which may
// have lost its links to the servers.
func (s *soak) checkNewCrashingPart() []string {
	cut := s.daemons[0]
	if len(s.daemons) > 1 && s.random.IntN(2) == 0 {
		s.setLink(cut, s.randomLinkFault())
		defer s.setLink(cut, link.NoFault)
	}
	before := s.soundShare(partContactTime)
	id := s.addCrashingPart()
	stop := s.startCrashingParts(id, s.random.IntN(2) == 0)
	time.Sleep(partCheckTime - 2*partContactTime)
	during := s.soundShare(2 * partContactTime)
	stop()
	s.crashingSenders.Wait()
	record := s.platform.PartRecord(id)
	s.platform.RemoveCrashingParts()
	s.platform.AwaitRestarts()
	s.logf("%d servers crashed under part %s, which arrived %d times; %.2f of the sound requests served before, %.2f during", len(record.Crashes), id, len(record.Arrivals), before, during)
	var failures []string
	if len(record.Crashes) >= crashesUntilCounted {
		counted := record.ArrivalsAfter(record.Crashes[crashesUntilCounted-1].Add(partContactTime))
		if counted > maxCountedArrivals {
			failures = append(failures, fmt.Sprintf("%d requests with part %s arrived after %d servers had crashed under it", counted, id, crashesUntilCounted))
		}
	}
	if during < minSoundShare*before {
		failures = append(failures, fmt.Sprintf("%.2f of the sound requests were served beside part %s, %.2f before", during, id, before))
	}
	return append(failures, s.awaitServing("new part that crashes servers")...)
}

// soundShare sends sound requests that share the first part of their prompts with harmful ones, at
// all daemons for a while, and returns the share that was served at the first attempt.
func (s *soak) soundShare(duration time.Duration) float64 {
	var counted firstAttempts
	var senders sync.WaitGroup
	until := time.Now().Add(duration)
	for _, d := range s.daemons {
		senders.Go(func() {
			client := &standin.Client{
				Platform: s.platform,
				Address:  d.clientProxy.Address(),
				Daemon:   d.name,
				Key:      s.keys.pick(false),
			}
			const events = 4
			for turn := 0; time.Now().Before(until); turn++ {
				client.PromptParts = fmt.Sprintf("%s:40,c%d:20", sharedFirstPart, turn)
				answer := client.Stream(context.Background(), standin.ModelSmall, events)
				counted.sent.Add(1)
				if answer.Status == http.StatusOK && answer.Err == nil {
					counted.served.Add(1)
				}
				time.Sleep(clientInterval)
			}
		})
	}
	senders.Wait()
	return counted.share()
}
