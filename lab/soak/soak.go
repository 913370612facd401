// Package soak plays random faults against real daemons in processes of their
// own and checks, while it runs, what clients and backend servers see.
//
// It starts no process: a script (soak/run) starts the daemons that it lists,
// starts each again when it ends, and leaves their process ids in files. The
// soak holds the stand-in of the platform, a proxy before the store of each
// daemon, before each daemon's clients and before each backend server, and
// clients that keep using open connections. All of its choices come from a seed.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/proxy"
	"headcourse/lab/standin"
)

// Options are what a soak is played with.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Daemons int
	// Faults is how many rows of the table of faults are drawn from; 0: all.
	Faults int
	// Dir takes settings files and process ids.
	Dir string
	Out io.Writer
}

// Times of a soak.
const (
	// patience bounds the wait for everything to work, at the start and after the faults.
	patience = 60 * time.Second
	// clientPause is the time between two requests of a client.
	clientPause = 15 * time.Millisecond
	// clientsOfDaemon is how many clients each daemon has.
	clientsOfDaemon = 4
)

// daemon is one daemon that the script runs.
type daemon struct {
	name    string
	clients int
	store   *proxy.Proxy
	entry   *proxy.Proxy
}

// soak is one play.
type soak struct {
	options  Options
	random   *rand.Rand
	platform *standin.Platform
	faults   []fault
	daemons  []*daemon
	// servers are the proxies before backend servers, by their addresses; servers that
	// crash start again at any time.
	serversMutex sync.Mutex
	servers      map[string]*proxy.Proxy
	// ports are those that daemons were given.
	ports map[int]bool
	keys  keyring
	tally tally
	// timers are what is still to happen while there are faults.
	timers []*time.Timer
	// crashing are the paths of the requests that crash servers, in the order in which
	// they came first; crashers are what sends them.
	crashing []string
	crashers sync.WaitGroup
	copies   copies
}

// Play plays a soak and returns what must not have happened.
func Play(options Options) ([]string, error) {
	s := &soak{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		faults:  faults,
		servers: map[string]*proxy.Proxy{},
		ports:   map[int]bool{},
		tally: tally{
			counts: map[string]int{},
		},
	}
	if options.Faults > len(faults) {
		return nil, errors.Errorf("play soak: %d faults asked for, there are %d", options.Faults, len(faults))
	}
	if options.Faults > 0 {
		s.faults = faults[:options.Faults]
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	defer s.platform.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if broken := s.await("start"); len(broken) > 0 {
		return broken, nil
	}
	s.say("all daemons serve")
	copied := make(chan struct{})
	var copier sync.WaitGroup
	copier.Go(func() { s.copyStore(copied) })
	var clients sync.WaitGroup
	for i := range s.daemons {
		for range clientsOfDaemon {
			clients.Go(func() { s.runClient(ctx, i) })
		}
	}
	s.disturb(time.Now().Add(options.Length))
	s.healAll()
	broken := s.await("recovery")
	broken = append(broken, s.checkCrashing()...)
	broken = append(broken, s.checkLimits()...)
	broken = append(broken, s.checkEvacuation()...)
	broken = append(broken, s.checkRestore()...)
	close(copied)
	copier.Wait()
	stop()
	clients.Wait()
	s.say("%s", s.tally.String())
	counts := s.platform.DirectiveCounts()
	s.say("%d pauses asked, %d requests in them after what was under way; %d leaves said", counts.Pauses, counts.InPause, counts.Leaves)
	s.say("%d daemons told of a limit, %d requests of theirs to servers that had one", counts.Limits, counts.Limited)
	return append(broken, s.platform.Violations()...), nil
}

// say writes a line of what happens, with the time since the start.
func (s *soak) say(format string, values ...any) {
	// Nobody is told more by a failure to write it.
	_, _ = fmt.Fprintf(s.options.Out, "soak %d: %s\n", s.options.Seed, fmt.Sprintf(format, values...))
}

// prepare starts the stand-in and the proxies, and writes the settings of the
// daemons.
func (s *soak) prepare() error {
	var err error
	s.platform, err = standin.Start(s.options.Dir, standin.Size{
		Domains:   2,
		PerDomain: 8,
		Plain:     3,
		Zones:     zonesOfServers,
		Lead:      s.proxyFor,
	})
	if err != nil {
		return err
	}
	s.keys.withdraw = map[string]time.Time{}
	for i := range s.options.Daemons {
		if err = s.addDaemon(fmt.Sprintf("front-%d", i)); err != nil {
			return err
		}
	}
	const readable = 0o600
	listed := ""
	for _, one := range s.daemons {
		listed += one.name + "\n"
	}
	return errors.Wrap(os.WriteFile(filepath.Join(s.options.Dir, "daemons"), []byte(listed), readable), "list daemons")
}

// proxyFor puts a proxy before a backend server.
func (s *soak) proxyFor(address string) (string, error) {
	made, err := proxy.Listen(address)
	if err != nil {
		return "", err
	}
	s.serversMutex.Lock()
	defer s.serversMutex.Unlock()
	s.servers[made.Address()] = made
	return made.Address(), nil
}

// addDaemon writes the settings of a daemon, whose store and clients are led
// through proxies.
func (s *soak) addDaemon(name string) error {
	ports, err := s.freePorts()
	if err != nil {
		return err
	}
	store, err := proxy.Listen(s.platform.Store.Address())
	if err != nil {
		return err
	}
	entry, err := proxy.Listen(fmt.Sprintf("127.0.0.1:%d", ports[0]))
	if err != nil {
		return err
	}
	if _, err = s.platform.WriteSettingsFor(name, store.Address(), ports[0], ports[1], ports[2]); err != nil {
		return err
	}
	s.daemons = append(s.daemons, &daemon{
		name:    name,
		clients: ports[0],
		store:   store,
		entry:   entry,
	})
	return nil
}

// Ports of daemons. They are below those that the system gives to connections: a daemon keeps
// its ports over its restarts, and while it is down a connection must not get one of them.
const firstPort, lastPort = 12000, 30000

// freePorts returns three ports that are free now and no other daemon has been given.
func (s *soak) freePorts() ([3]int, error) {
	var ports [3]int
	const tries = 1000
	found := 0
	for range tries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if s.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err = listener.Close(); err != nil {
			return ports, errors.Wrapf(err, "free port %d", port)
		}
		s.ports[port] = true
		ports[found] = port
		if found++; found == len(ports) {
			return ports, nil
		}
	}
	return ports, errors.Errorf("find free ports from %d to %d: %d of %d in %d tries", firstPort, lastPort, found, len(ports), tries)
}
