package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"headcourse/lab/standin"
)

// rowsBeforeBursts is the number of rows of the table of faults before those of overloads. Seeds that
// draw from no more rows play without engine timings and without the check of overloads, as when they
// were found.
const rowsBeforeBursts = 33

// Parameters of bursts.
const (
	// requestKinds is the number of kinds of requests; uncancelledTurn plus a kind is a turn of that
	// kind that is not cancelled early.
	requestKinds, uncancelledTurn = 4, 100
	// longStreamKind is the kind of the streams of the large model.
	longStreamKind = 2
	// burstClients is the number of further clients of each daemon in a burst. Each sends requests of
	// one kind only, of which every other client sends one in requestKinds.
	burstClients = 3 * clientsPerDaemon
	// organisationClients is ten times the usual load of an organisation, one client of each daemon.
	organisationClients = 10
	// serverSlowdown is how many times later a slow server answers.
	serverSlowdown = 5
	// recoveryTime is how long after a burst requests must be answered again.
	recoveryTime = 3 * time.Second
	// checkedBurstTime is how long a burst of the check lasts. All daemons are killed killTime after
	// its begin.
	checkedBurstTime, killTime = 3 * time.Second, 500 * time.Millisecond
	// longestKillDelay is the longest time from the begin of a burst to the kill of all daemons.
	longestKillDelay = 400 * time.Millisecond
)

// drawsBursts reports whether the seed draws from the rows of overloads.
func (s *soak) drawsBursts() bool {
	return len(s.faults) > rowsBeforeBursts
}

// beginBurst starts clients of all daemons and returns the function that ends them and waits for
// them. turn returns the turn, and thereby the kind, of a client's request by its number.
func (s *soak) beginBurst(clientCount int, key func() string, interval time.Duration, turn func(number int) int) (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, d := range s.daemons {
		for range clientCount {
			clients.Go(func() {
				client := &standin.Client{
					Platform: s.platform,
					Address:  d.clientProxy.Address(),
					Daemon:   d.name,
				}
				for number := 0; ctx.Err() == nil; number++ {
					client.Key = key()
					answer := s.sendRequest(ctx, client, turn(number))
					s.bursts.add(fmt.Sprintf("%d %s", answer.Status, answer.Reason))
					time.Sleep(interval)
				}
			})
		}
	}
	return func() {
		stop()
		clients.Wait()
	}
}

// beginBurstOfKind starts a burst of requests of one kind.
func (s *soak) beginBurstOfKind(kind int) (end func()) {
	key := func() string { return s.keys.pick(false) }
	return s.beginBurst(burstClients, key, clientInterval, func(int) int { return uncancelledTurn + kind })
}

// burst sends several times as many requests of a random kind to all daemons.
func burst(s *soak) func() {
	return s.beginBurstOfKind(s.random.IntN(requestKinds))
}

// burstOfOrganisation sends requests of all kinds as ten times the load of one organisation, whose
// clients repeat at once.
func burstOfOrganisation(s *soak) func() {
	key := func() string { return standin.KeyLoja }
	return s.beginBurst(organisationClients, key, time.Millisecond, func(number int) int { return uncancelledTurn + number%requestKinds })
}

// slowServer makes a random plain server or head slow.
func slowServer(s *soak) func() {
	servers := append(s.platform.Servers(standin.ServicePlain), s.platform.Heads(standin.ModelLarge)...)
	servers = append(servers, s.platform.Heads(standin.ModelSmall)...)
	slow := servers[s.random.IntN(len(servers))]
	slow.SetSlowdown(serverSlowdown)
	return func() { slow.SetSlowdown(0) }
}

// killAllInBurst kills all daemons during a burst, so that the requests that wait in them are lost.
func killAllInBurst(s *soak) func() {
	end := burst(s)
	s.schedule(s.randomDuration(minFaultDuration, longestKillDelay), s.killDaemons)
	return end
}

// checkOverload plays each fault of overloads without others. It returns a failure for each kind that
// a daemon does not serve within recoveryTime after a burst. The stand-in finds requests that wait too
// long in a daemon, and refused ones that reached a server.
func (s *soak) checkOverload() []string {
	if !s.drawsBursts() {
		return nil
	}
	failures := s.awaitServing("before bursts")
	for _, checked := range []struct {
		name  string
		begin func(s *soak) (end func())
		kills bool
	}{
		{
			// With four daemons, these streams exceed the slots of the large model's heads.
			name:  "a burst of long streams",
			begin: func(s *soak) func() { return s.beginBurstOfKind(longStreamKind) },
		},
		{
			name:  "a burst of an organisation",
			begin: burstOfOrganisation,
		},
		{
			name: "a burst with a slow server",
			begin: func(s *soak) func() {
				endSlowness, endBurst := slowServer(s), burst(s)
				return func() {
					endSlowness()
					endBurst()
				}
			},
		},
		{
			name:  "a burst in which all daemons are killed",
			begin: burst,
			kills: true,
		},
	} {
		s.platform.CheckWaits(true)
		end := checked.begin(s)
		time.Sleep(killTime)
		if checked.kills {
			s.killDaemons()
		}
		time.Sleep(checkedBurstTime - killTime)
		end()
		failures = append(failures, s.checkRecovery(checked.name)...)
		s.platform.CheckWaits(false)
	}
	counts := s.platform.OverloadCounts()
	s.logf("answers in bursts: %s", s.bursts.String())
	s.logf("bursts: %d waits in daemons, the longest %s; %d requests refused in overloads", counts.WaitsChecked, counts.LongestWait.Round(time.Millisecond), counts.Refused)
	return failures
}

// checkRecovery returns a failure for each daemon and kind without an answer within recoveryTime.
func (s *soak) checkRecovery(name string) []string {
	ctx, stop := context.WithTimeout(context.Background(), recoveryTime)
	defer stop()
	var mutex sync.Mutex
	var failures []string
	var requests sync.WaitGroup
	began := time.Now()
	for _, d := range s.daemons {
		for kind := range requestKinds {
			requests.Go(func() {
				client := &standin.Client{
					Platform: s.platform,
					Address:  d.clientProxy.Address(),
					Key:      s.keys.pick(false),
				}
				var answer standin.Answer
				for ctx.Err() == nil {
					answer = s.sendRequest(ctx, client, uncancelledTurn+kind)
					if answer.Status == http.StatusOK && answer.Err == nil {
						return
					}
					time.Sleep(clientInterval)
				}
				mutex.Lock()
				defer mutex.Unlock()
				failures = append(failures, fmt.Sprintf("%s: %s does not serve kind %d within %s: status %d, %v", name, d.name, kind, recoveryTime, answer.Status, answer.Err))
			})
		}
	}
	requests.Wait()
	s.logf("after %s, requests answered again: %d failures, %s", name, len(failures), time.Since(began).Round(time.Millisecond))
	return failures
}
