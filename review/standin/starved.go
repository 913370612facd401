package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"headcourse/platform/wire"
)

const (
	// streamsPerSecond and unsafePerSecond are the rates of the two kinds of requests.
	streamsPerSecond = 8
	unsafePerSecond  = 16
	// starvedEvents is how many events a stream has, unsafeBodyBytes the size of the other bodies.
	starvedEvents   = 10
	unsafeBodyBytes = 600
	// starvedTime is the length of the play. The servers crash after starvedCalmTime and are back
	// starvedDownTime later; their entries go after expiryTime, three heartbeats.
	starvedTime     = 60 * time.Second
	starvedCalmTime = 6 * time.Second
	starvedDownTime = 4 * time.Second
	expiryTime      = 3600 * time.Millisecond
	// recoveryTime is RecoveryS.
	recoveryTime = 12 * time.Second
	// A kind is starved if it is served less than 1/starvedRatio as often as all.
	starvedRatio = 4
	// Numbers of servers.
	serversInDomain = 6
	plainServers    = 2
	// The kinds of requests.
	kindStream = "stream"
	kindUnsafe = "unsafe"
)

// tally counts the requests of a kind, and those that were served.
type tally struct {
	mutex        sync.Mutex
	sent, served map[string]int
	// lateSent and lateServed count those that were sent later than recoveryTime after the crash.
	lateSent, lateServed map[string]int
}

// add counts a request.
func (t *tally) add(kind string, isServed, isLate bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent[kind]++
	if isServed {
		t.served[kind]++
	}
	if isLate {
		t.lateSent[kind]++
	}
	if isLate && isServed {
		t.lateServed[kind]++
	}
}

// sum returns the sum over all kinds.
func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// mixedConfig is a configuration with a route of streams and one of requests that may not be repeated.
func mixedConfig() wire.Config {
	config := engineConfig()
	plain := plainConfig()
	config.Routes = append(config.Routes, plain.Routes...)
	config.Services = append(config.Services, plain.Services...)
	return config
}

// playStarved crashes all servers of one domain, under streams whose prompts share a part and whose
// answers have no length. The servers of the other domain go on, and those that crashed return. No
// kind of request may be served less than a quarter as often as all.
func playStarved(p *play) (bool, error) {
	const daemons = 2
	if err := p.putConfig(mixedConfig()); err != nil {
		return false, err
	}
	for number := range plainServers {
		if _, err := p.startServer(serverSettings{
			ID:       fmt.Sprintf("i-1%03d", number),
			Service:  serviceName,
			Capacity: 6,
			WorkMs:   60,
		}); err != nil {
			return false, err
		}
	}
	domain, err := p.startDomain("rack-1", 0)
	if err != nil {
		return false, err
	}
	if _, err = p.startDomain("rack-2", serversInDomain); err != nil {
		return false, err
	}
	var fronts []*daemon
	for number := range daemons {
		started, startErr := p.startDaemon(number)
		if startErr != nil {
			return false, startErr
		}
		fronts = append(fronts, started)
	}
	if err = p.awaitReady(fronts...); err != nil {
		return false, err
	}
	if !await(func() bool { return p.headsOf(domain) >= minHeads && len(p.heads()) > p.headsOf(domain) }) {
		return false, errors.New("too few groups are open")
	}
	if err = p.awaitStreams(fronts); err != nil {
		return false, err
	}
	return p.crashDomain(domain, fronts), nil
}

// minHeads is how many groups of the domain that crashes are open before.
const minHeads = 2

// headsOf returns how many servers of a domain are heads of open groups.
func (p *play) headsOf(domain []*process) int {
	count := 0
	for _, head := range p.heads() {
		if slices.ContainsFunc(domain, func(one *process) bool { return one.name == head }) {
			count++
		}
	}
	return count
}

// startDomain starts the model engines of one domain.
func (p *play) startDomain(domain string, first int) ([]*process, error) {
	var servers []*process
	for number := first; number < first+serversInDomain; number++ {
		started, err := p.startServer(serverSettings{
			ID:       fmt.Sprintf("i-%04d", number),
			Service:  engineName,
			Domain:   domain,
			Capacity: 26,
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, started)
	}
	return servers, nil
}

// crashDomain sends the requests and crashes the servers of a domain.
func (p *play) crashDomain(domain []*process, fronts []*daemon) bool {
	counts := &tally{
		sent:       map[string]int{},
		served:     map[string]int{},
		lateSent:   map[string]int{},
		lateServed: map[string]int{},
	}
	startedAt := time.Now()
	lateFrom := startedAt.Add(starvedCalmTime + starvedDownTime + recoveryTime)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		p.sendEach(stop, streamsPerSecond, fronts, func(sender *client) {
			isLate := time.Now().After(lateFrom)
			ended := sender.stream(starvedEvents)
			p.record("client: %s %s", kindStream, ended)
			counts.add(kindStream, ended.isComplete() && ended.body == expectedStream(ended.id, starvedEvents), isLate)
		})
	})
	running.Go(func() {
		p.sendEach(stop, unsafePerSecond, fronts, func(sender *client) {
			const timeout = 4 * time.Second
			isLate := time.Now().After(lateFrom)
			ended := sender.send(pathUnsafe+"x", timeout, nil, make([]byte, unsafeBodyBytes))
			p.record("client: %s %s", kindUnsafe, ended)
			counts.add(kindUnsafe, ended.isComplete() && ended.body == plainAnswer(ended.id), isLate)
		})
	})
	time.Sleep(starvedCalmTime)
	if p.isTroubled {
		p.crash(domain)
	}
	time.Sleep(time.Until(startedAt.Add(starvedTime)))
	close(stop)
	running.Wait()
	return p.judgeTally(counts)
}

// crash ends the servers of a domain at once. Their entries go after three status reports of silence,
// and the servers are back under new IDs after starvedDownTime.
func (p *play) crash(domain []*process) {
	for _, one := range domain {
		p.record("platform: server %s crashes", one.name)
		one.signal(syscall.SIGKILL)
	}
	time.Sleep(expiryTime)
	for _, one := range domain {
		p.store.put(wire.TableServers, one.name, nil)
	}
	time.Sleep(starvedDownTime - expiryTime)
	const firstOfNew = 100
	if _, err := p.startDomain("rack-1", firstOfNew); err != nil {
		p.record("platform: servers do not start again: %s", err)
		return
	}
	p.record("platform: the servers of the domain are back")
}

// judgeTally reports whether a kind of request was served less than a quarter as often as all.
func (p *play) judgeTally(counts *tally) bool {
	isBroken := false
	allSent, allServed := sum(counts.sent), sum(counts.served)
	for _, kind := range []string{kindStream, kindUnsafe} {
		sent, served := counts.sent[kind], counts.served[kind]
		p.record("%s: %d of %d served in the whole play, %d of %d of those sent later than %s after the servers were back", kind, served, sent, counts.lateServed[kind], counts.lateSent[kind], recoveryTime)
		if starvedRatio*served*allSent < allServed*sent {
			isBroken = true
			p.record("rule Starved broken: %s requests are served under a quarter as often as all requests (%d of %d)", kind, allServed, allSent)
		}
	}
	return isBroken
}

// sendEach sends requests at a fixed rate, to the daemons in turn, each from a client of its own.
func (p *play) sendEach(stop <-chan struct{}, perSecond int, fronts []*daemon, send func(sender *client)) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			sender := &client{
				address: fronts[number%len(fronts)].front,
			}
			defer sender.http.CloseIdleConnections()
			send(sender)
		})
	}
}
