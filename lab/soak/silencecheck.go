package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"headcourse/lab/standin"
)

// Parameters of the check of silences.
const (
	// checkedSilence is how long servers stand still.
	checkedSilence = 1300 * time.Millisecond
	// shareTime is how long requests of servers are counted, before a silence and from returnTime after it.
	shareTime, returnTime = 2 * time.Second, 2 * time.Second
	// minCountedArrivals is the number of arrivals from which a share is compared. Of fewer, chance decides.
	minCountedArrivals = 20
	// minReturnedShare is the least share of its former requests that a server has got back. Half of it is far
	// outside chance.
	minReturnedShare = 0.5
	// silenceClients is the number of clients of each daemon and kind.
	silenceClients = 2
	// silenceClientInterval is the time between two requests of one of them.
	silenceClientInterval = 50 * time.Millisecond
	// settleTime is longer than clients need to begin, and servers to read what was held.
	settleTime = time.Second
	// namedAnswers is the number of failed requests that a failure names.
	namedAnswers = 4
)

// silenceCase is a silence that is checked.
type silenceCase struct {
	name string
	// change changes the configuration before the silence.
	change func()
	// choose returns the servers that stand still, and those that refuse requests meanwhile.
	choose func() (still, full []*standin.Server)
	// begin makes servers stand still.
	begin func(servers []*standin.Server, silence time.Duration)
}

// silenceCases returns the silences that are checked.
func (s *soak) silenceCases() []silenceCase {
	const shortTimeout, shortIdleTimeout = 4 * time.Second, 3 * time.Second
	return []silenceCase{
		{
			name:   "silence of all servers",
			change: func() { s.platform.ChangeConfig(standin.WithIdleTimeout(shortIdleTimeout)) },
			choose: func() (still, full []*standin.Server) { return s.allServers(), nil },
			begin:  s.standStill,
		},
		{
			name:   "silence of six in ten servers and unanswered connects",
			change: func() { s.platform.ChangeConfig(standin.WithRouteTimeout(shortTimeout)) },
			choose: func() (still, full []*standin.Server) {
				still, _ = s.randomShare(stillShare)
				return still, nil
			},
			begin: s.standStillUnconnected,
		},
		{
			name:   "silence of a group",
			change: func() { s.platform.ChangeConfig(standin.WithAddedRoute) },
			choose: func() (still, full []*standin.Server) {
				if member := s.randomMember(); member != nil {
					still = s.platform.Members(member)
				}
				return still, nil
			},
			begin: s.standStill,
		},
		{
			name:   "silence beside full servers",
			change: s.rotateKeys,
			choose: func() (still, full []*standin.Server) { return s.randomShare(stillShare) },
			begin:  s.standStill,
		},
		{
			name:   "silence at one place of the answers of all servers",
			change: s.randomConfigChange(),
			choose: func() (still, full []*standin.Server) { return s.allServers(), nil },
			begin:  s.holdAtRandomPlace,
		},
	}
}

// checkSilences makes servers stand still after changes of the configuration, without other faults. It returns a
// failure for requests that end without their complete answer or a truthful refusal, for groups that end, and for
// servers that do not get their requests back.
func (s *soak) checkSilences() []string {
	if !s.drawsSilences() {
		return nil
	}
	failures := s.awaitServing("before silences")
	groups := s.openGroups()
	for _, checked := range s.silenceCases() {
		failures = append(failures, s.checkSilence(checked, groups)...)
	}
	return append(failures, s.awaitServing("silences")...)
}

// checkSilence checks one silence. groups are the groups that were open before the first one, and that are still.
// Groups that were created since may replace one of them, and end once it answers again.
func (s *soak) checkSilence(checked silenceCase, groups map[string]string) []string {
	clients := s.beginSilenceClients()
	time.Sleep(settleTime)
	still, full := checked.choose()
	before := countArrivals(still, shareTime)
	timeout := s.platform.RouteTimeout()
	checked.change()
	timeout = min(timeout, s.platform.RouteTimeout())
	time.Sleep(silenceDelay)
	endFull := beginFull(full)
	checked.begin(still, checkedSilence)
	time.Sleep(checkedSilence)
	endFull()
	time.Sleep(returnTime)
	after := countArrivals(still, shareTime)
	clients.end()
	time.Sleep(settleTime)
	lost := clients.failures(s.platform, timeout)
	s.logf("%s: %s; %d of %d requests failed; the servers got %d requests in %s before and %d after", checked.name, clients.outcomes.String(), len(lost), clients.sent.Load(), sum(before), shareTime, sum(after))
	var failures []string
	if len(lost) > 0 {
		failures = append(failures, fmt.Sprintf("%s: %d of %d requests ended without a complete answer or a truthful refusal: %s", checked.name, len(lost), clients.sent.Load(), strings.Join(lost[:min(len(lost), namedAnswers)], ", ")))
	}
	if ended := s.endedGroups(groups); len(ended) > 0 {
		failures = append(failures, fmt.Sprintf("%s: groups ended whose members all live: %s", checked.name, strings.Join(ended, ", ")))
	}
	return append(failures, checkReturn(checked.name, still, before, after, groups)...)
}

// countArrivals returns how many requests arrive at each of the servers in a time.
func countArrivals(servers []*standin.Server, duration time.Duration) []int64 {
	counts := make([]int64, len(servers))
	for i, server := range servers {
		counts[i] = -server.Arrivals()
	}
	time.Sleep(duration)
	for i, server := range servers {
		counts[i] += server.Arrivals()
	}
	return counts
}

// sum returns the sum of counts.
func sum(counts []int64) int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

// checkReturn returns a failure if servers that stood still get less than minReturnedShare of the requests that they
// got before, all together, or one of them none at all. Of the engines, the heads of the groups count.
func checkReturn(name string, servers []*standin.Server, before, after []int64, groups map[string]string) []string {
	var failures, counts []string
	var allBefore, allAfter int64
	for i, server := range servers {
		if !server.IsPlain() && groups[server.Group()] == "" {
			continue
		}
		allBefore += before[i]
		allAfter += after[i]
		counts = append(counts, fmt.Sprintf("%s %d %d", server.ID(), before[i], after[i]))
		if before[i] >= minCountedArrivals && after[i] == 0 {
			failures = append(failures, fmt.Sprintf("%s: %s gets no request in %s, and %d before", name, server.ID(), shareTime, before[i]))
		}
	}
	if allBefore >= minCountedArrivals && float64(allAfter) < minReturnedShare*float64(allBefore) {
		failures = append(failures, fmt.Sprintf("%s: the servers get %d requests in %s, and %d before: %s", name, allAfter, shareTime, allBefore, strings.Join(counts, ", ")))
	}
	return failures
}

// openGroups returns the open groups with the IDs of their heads.
func (s *soak) openGroups() map[string]string {
	groups := map[string]string{}
	for _, model := range []string{standin.ModelLarge, standin.ModelSmall} {
		for _, head := range s.platform.Heads(model) {
			if group := head.Group(); group != "" {
				groups[group] = head.ID()
			}
		}
	}
	return groups
}

// endedGroups removes those of the groups that are open no more, and returns them.
func (s *soak) endedGroups(former map[string]string) []string {
	var ended []string
	open := s.openGroups()
	for group, head := range former {
		if open[group] == "" {
			ended = append(ended, group+" of head "+head)
			delete(former, group)
		}
	}
	slices.Sort(ended)
	return ended
}

// silenceRequest is a request of a check of silences, and what its client got.
type silenceRequest struct {
	kind   int
	took   time.Duration
	answer standin.Answer
	// mustAccept is set if the key was in force all the time.
	mustAccept bool
}

// silenceClientGroup are the clients of a check of silences.
type silenceClientGroup struct {
	isEnding atomic.Bool
	clients  sync.WaitGroup
	sent     atomic.Int64
	outcomes outcomeCounter
	mutex    sync.Mutex
	// unanswered are the requests without a complete answer.
	unanswered []silenceRequest
}

// beginSilenceClients starts clients of all kinds at all daemons.
func (s *soak) beginSilenceClients() *silenceClientGroup {
	g := &silenceClientGroup{
		outcomes: outcomeCounter{
			counts: map[string]int{},
		},
	}
	for _, d := range s.daemons {
		for kind := range requestKinds {
			for range silenceClients {
				g.clients.Go(func() { s.runSilenceClient(g, d, kind) })
			}
		}
	}
	return g
}

// runSilenceClient sends requests of a kind until the clients end. It cancels none.
func (s *soak) runSilenceClient(g *silenceClientGroup, d *daemon, kind int) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  d.clientProxy.Address(),
		Daemon:   d.name,
	}
	for !g.isEnding.Load() {
		client.Key = s.keys.pick(false)
		began := time.Now()
		answer := s.sendRequest(context.Background(), client, uncancelledTurn+kind)
		g.record(silenceRequest{
			kind:       kind,
			took:       time.Since(began),
			answer:     answer,
			mustAccept: s.keys.mustAccept(client.Key, began),
		})
		time.Sleep(silenceClientInterval)
	}
}

// record records a request that has ended.
func (g *silenceClientGroup) record(r silenceRequest) {
	g.sent.Add(1)
	outcome := fmt.Sprintf("%d %s", r.answer.Status, r.answer.Reason)
	if r.answer.Err != nil {
		outcome = "broken"
	}
	g.outcomes.add(strings.TrimSpace(outcome))
	if r.answer.Status == http.StatusOK && r.answer.Err == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unanswered = append(g.unanswered, r)
}

// end ends the clients after the answers to their requests.
func (g *silenceClientGroup) end() {
	g.isEnding.Store(true)
	g.clients.Wait()
}

// failures describes the requests that ended neither with a complete answer nor with a truthful refusal, nor at the
// time-out of their route. It is called once all servers have read what was held.
func (g *silenceClientGroup) failures(platform *standin.Platform, timeout time.Duration) []string {
	var failures []string
	for _, r := range g.unanswered {
		isRefused := r.answer.Status == http.StatusServiceUnavailable || r.answer.Status == http.StatusTooManyRequests
		isUnknown := r.answer.Status == http.StatusUnauthorized && !r.mustAccept
		runs := platform.Runs(r.answer.ID)
		isTruthful := r.answer.Err == nil && runs == 0 && (isRefused || isUnknown)
		if isTruthful || r.took >= timeout {
			continue
		}
		failures = append(failures, fmt.Sprintf("%s of kind %d: %d %s %v after %s, %d runs", r.answer.ID, r.kind, r.answer.Status, r.answer.Reason, r.answer.Err, r.took.Round(time.Millisecond), runs))
	}
	return failures
}
