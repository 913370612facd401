// Package soak injects random faults into real daemons, each in a process of its own, and
// checks meanwhile what clients and backend servers observe.
//
// It starts no process: the script soak/run starts the daemons that the soak lists, restarts
// each that ends, and writes their process IDs to files. The soak runs the stand-in of the
// platform, a proxy before the store and the clients of each daemon and before each backend
// server, and clients that reuse their connections. The seed determines which faults it
// injects. It determines neither the ports of daemons nor the moments at which lost writes are
// repeated after a restore.
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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/proxy"
	"headcourse/lab/standin"
)

// Options are the settings of a soak.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Daemons int
	// Faults is the number of rows of the fault table to draw from; 0 means all.
	Faults int
	// Dir is the folder for settings files and process IDs.
	Dir string
	Out io.Writer
}

// Times of a soak, and its number of clients.
const (
	// servingTimeout limits the wait until one daemon serves one kind of request.
	servingTimeout = 60 * time.Second
	// clientInterval is the time between two requests of a client.
	clientInterval = 15 * time.Millisecond
	// clientsPerDaemon is the number of clients of each daemon.
	clientsPerDaemon = 4
	// soakDomains is the number of domains of engines.
	soakDomains = 2
)

// daemon is a daemon that the script runs, and the proxies before its store and its clients.
type daemon struct {
	name        string
	clientPort  int
	storeProxy  *proxy.Proxy
	clientProxy *proxy.Proxy
}

// soak is one run.
type soak struct {
	options  Options
	random   *rand.Rand
	platform *standin.Platform
	faults   []fault
	daemons  []*daemon
	// serverProxies are the proxies before backend servers, by their addresses. The mutex is
	// needed because crashed servers restart at any time.
	serverProxiesMutex sync.Mutex
	serverProxies      map[string]*proxy.Proxy
	sockets            processSockets
	// usedPorts are the ports that were assigned to daemons.
	usedPorts map[int]bool
	keys      keyring
	outcomes  outcomeCounter
	// bursts counts the answers to the clients of bursts.
	bursts outcomeCounter
	// timers are the pending actions of faults; they stop when the faults end.
	timers []*time.Timer
	// crashingPaths are the paths of the requests that crash servers, in the order of their
	// first use; crashingSenders are the goroutines that send them.
	crashingPaths   []string
	crashingSenders sync.WaitGroup
	// crashingParts are the parts of prompts that crash servers, in the order of their first use.
	crashingParts []string
	snapshots     snapshots
	// cancelsNone is set while clients cancel no requests.
	cancelsNone atomic.Bool
}

// RunSeed runs a soak and returns the violations and failures that it found. If the daemons do
// not serve at the start, it returns only these failures.
func RunSeed(options Options) ([]string, error) {
	s := &soak{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)),
		faults:        faults,
		serverProxies: map[string]*proxy.Proxy{},
		usedPorts:     map[int]bool{},
		outcomes: outcomeCounter{
			counts: map[string]int{},
		},
		bursts: outcomeCounter{
			counts: map[string]int{},
		},
	}
	if options.Faults > len(faults) {
		return nil, errors.Errorf("run soak: %d faults requested, but the table has %d", options.Faults, len(faults))
	}
	if options.Faults > 0 {
		s.faults = faults[:options.Faults]
	}
	if err := s.setUp(); err != nil {
		return nil, err
	}
	defer s.platform.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if failures := s.awaitServing("start"); len(failures) > 0 {
		return failures, nil
	}
	s.logf("all daemons serve")
	stopSnapshots := make(chan struct{})
	var snapshotTaker sync.WaitGroup
	snapshotTaker.Go(func() { s.takeSnapshots(stopSnapshots) })
	var clients sync.WaitGroup
	for i := range s.daemons {
		for range clientsPerDaemon {
			clients.Go(func() { s.runClient(ctx, i) })
		}
	}
	s.injectFaults(time.Now().Add(options.Length))
	s.clearFaults()
	failures := s.awaitServing("recovery")
	failures = append(failures, s.checkCrashingRequests()...)
	failures = append(failures, s.checkLimits()...)
	failures = append(failures, s.checkEvacuation()...)
	failures = append(failures, s.checkRestore()...)
	failures = append(failures, s.checkRetries()...)
	failures = append(failures, s.checkLinks()...)
	failures = append(failures, s.checkUnframed()...)
	failures = append(failures, s.checkInvalidAnswers()...)
	failures = append(failures, s.checkCrashingParts()...)
	failures = append(failures, s.checkOverload()...)
	failures = append(failures, s.checkSilences()...)
	failures = append(failures, s.checkStaleViews()...)
	failures = append(failures, s.checkPlannedStops()...)
	close(stopSnapshots)
	snapshotTaker.Wait()
	stop()
	clients.Wait()
	s.logf("%s", s.outcomes.String())
	counts := s.platform.DirectiveCounts()
	s.logf("%d pauses requested, %d requests sent in them beyond those in flight; %d drains announced", counts.PausesRequested, counts.RequestsInPause, counts.DrainsAnnounced)
	s.logf("%d pairs of a server and a daemon that received a limit from it, with %d requests", counts.LimitsReceived, counts.LimitedRequests)
	return append(failures, s.platform.Violations()...), nil
}

// logf writes a line with the seed and the time, as in the daemons' log lines, to the log.
func (s *soak) logf(format string, values ...any) {
	// The error is ignored: there is no other place to report it.
	now := time.Now().UTC().Format("15:04:05.000")
	_, _ = fmt.Fprintf(s.options.Out, "soak %d: %s %s\n", s.options.Seed, now, fmt.Sprintf(format, values...))
}

// setUp starts the stand-in and the proxies, and writes the settings of the daemons.
func (s *soak) setUp() error {
	err := s.listServerProcesses()
	if err != nil {
		return err
	}
	s.platform, err = standin.Start(s.options.Dir, standin.Size{
		Domains:           soakDomains,
		ServersPerDomain:  8,
		PlainServers:      3,
		RareServers:       2,
		Zones:             serverZones,
		AdvertisedAddress: s.addServerProxy,
	})
	if err != nil {
		return err
	}
	if s.drawsBursts() {
		s.platform.ChangeConfig(standin.WithEngineTimings)
	}
	s.keys.revokedAt = map[string]time.Time{}
	for i := range s.options.Daemons {
		if err = s.addDaemon(fmt.Sprintf("front-%d", i)); err != nil {
			return err
		}
	}
	const fileMode = 0o600
	names := ""
	for _, d := range s.daemons {
		names += d.name + "\n"
	}
	return errors.Wrap(os.WriteFile(filepath.Join(s.options.Dir, "daemons"), []byte(names), fileMode), "write the list of daemons")
}

// addServerProxy starts a proxy before a backend server and returns its address.
func (s *soak) addServerProxy(address string) (string, error) {
	serverProxy, err := proxy.Listen(address)
	if err != nil {
		return "", err
	}
	socket, err := s.openSocket(serverProxy.Address())
	if err != nil {
		return "", err
	}
	s.serverProxiesMutex.Lock()
	defer s.serverProxiesMutex.Unlock()
	s.serverProxies[socket] = serverProxy
	return socket, nil
}

// addDaemon writes the settings of a daemon that reaches the store, and is reached by its
// clients, through proxies.
func (s *soak) addDaemon(name string) error {
	ports, err := s.freePorts()
	if err != nil {
		return err
	}
	storeProxy, err := proxy.Listen(s.platform.Store.Address())
	if err != nil {
		return err
	}
	clientProxy, err := proxy.Listen(fmt.Sprintf("127.0.0.1:%d", ports[0]))
	if err != nil {
		return err
	}
	if _, err = s.platform.WriteSettingsWithStore(name, storeProxy.Address(), ports[0], ports[1], ports[2]); err != nil {
		return err
	}
	s.daemons = append(s.daemons, &daemon{
		name:        name,
		clientPort:  ports[0],
		storeProxy:  storeProxy,
		clientProxy: clientProxy,
	})
	return nil
}

// Ports of daemons. They are below the range from which the system assigns ports to
// connections: a daemon keeps its ports over restarts, and no connection may take one while
// the daemon is down.
const minPort, maxPort = 12000, 30000

// isFree reports whether a port is free now.
func isFree(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// freePorts returns three ports that are free now and not assigned to another daemon, each with the
// port after it.
func (s *soak) freePorts() ([3]int, error) {
	var ports [3]int
	const attempts = 1000
	found := 0
	for range attempts {
		port := minPort + rand.IntN(maxPort-minPort)
		if s.usedPorts[port] || s.usedPorts[port+1] || !isFree(port) || !isFree(port+1) {
			continue
		}
		s.usedPorts[port] = true
		s.usedPorts[port+1] = true
		ports[found] = port
		if found++; found == len(ports) {
			return ports, nil
		}
	}
	return ports, errors.Errorf("find free ports from %d to %d: found %d of %d in %d attempts", minPort, maxPort, found, len(ports), attempts)
}
