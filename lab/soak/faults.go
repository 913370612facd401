package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/link"
	"headcourse/lab/proxy"
	"headcourse/lab/standin"
)

// fault is one kind of fault. begin injects it and returns the function that ends it, or nil
// if nothing has to be ended; name is for the log.
type fault struct {
	name  string
	begin func(s *soak) (end func())
}

// faults is the table of all faults. New rows go at its end: the seeds in soak/seeds.txt draw
// from the rows that existed when they were found.
var faults = []fault{
	{
		name:  "connections of a daemon to the store disturbed",
		begin: disturbStoreConnections,
	},
	{
		name:  "connections of a daemon's clients disturbed",
		begin: disturbClientConnections,
	},
	{
		name:  "connections to a backend server disturbed",
		begin: disturbServerConnections,
	},
	{
		name:  "open connections of a daemon to the store blackholed",
		begin: blackholeStoreConnections,
	},
	{
		name:  "open connections to a backend server blackholed",
		begin: blackholeServerConnections,
	},
	{
		name:  "daemon stopped by SIGTERM",
		begin: signalRandomDaemon(unix.SIGTERM),
	},
	{
		name:  "daemon killed",
		begin: signalRandomDaemon(unix.SIGKILL),
	},
	{
		name:  "daemon reloads settings on SIGHUP",
		begin: signalRandomDaemon(unix.SIGHUP),
	},
	{
		name:  "daemon paused",
		begin: pauseDaemon,
	},
	{
		name:  "all daemons killed",
		begin: killAllDaemons,
	},
	{
		name:  "store refuses all",
		begin: injectStoreFault(standin.Unavailable),
	},
	{
		name:  "store is unresponsive",
		begin: injectStoreFault(standin.Unresponsive),
	},
	{
		name:  "answers to writes are lost",
		begin: injectStoreFault(standin.LosingAnswers),
	},
	{
		name:  "store drops its history",
		begin: dropStoreHistory,
	},
	{
		name:  "member of a group is killed",
		begin: killMember,
	},
	{
		name:  "member of a group restarts under its ID",
		begin: restartMember,
	},
	{
		name:  "plain server leaves",
		begin: replacePlainServer,
	},
	{
		name:  "server misbehaves",
		begin: misbehave,
	},
	{
		name:  "servers reject requests and request pauses",
		begin: requestPauses,
	},
	{
		name:  "plain server leaves and announces it in its answers only",
		begin: drainInAnswersOnly,
	},
	{
		name:  "keys change",
		begin: rotateKeys,
	},
	{
		name:  "request that crashes its servers is repeated",
		begin: sendCrashingRequests,
	},
	{
		name:  "servers announce limits",
		begin: setLimits,
	},
	{
		name:  "store restored from an older copy",
		begin: restoreStore,
	},
	{
		name:  "zone is evacuated",
		begin: evacuateZone,
	},
	{
		name:  "servers become cold",
		begin: makeServersCold,
	},
	{
		name:  "all daemons killed in series while servers fail",
		begin: killDaemonsInSeries,
	},
	{
		name:  "daemons lose their links to all servers",
		begin: cutOffDaemons,
	},
	{
		name:  "servers answer without a length",
		begin: answerUnframed,
	},
	{
		name:  "server that answers without a length crashes",
		begin: crashUnframed,
	},
	{
		name:  "requests with a part that crashes servers",
		begin: sendCrashingParts,
	},
	{
		name:  "rack loses power",
		begin: crashRack,
	},
	{
		name:  "one daemon gets a storm of connections",
		begin: stormDaemon,
	},
	{
		name:  "burst of requests of one kind",
		begin: burst,
	},
	{
		name:  "one organisation sends ten times its usual load",
		begin: burstOfOrganisation,
	},
	{
		name:  "server answers several times later",
		begin: slowServer,
	},
	{
		name:  "all daemons killed during a burst",
		begin: killAllInBurst,
	},
	{
		name:  "server stands still",
		begin: silenceServer,
	},
	{
		name:  "group stands still",
		begin: silenceGroup,
	},
	{
		name:  "six in ten of all servers, or all, stand still",
		begin: silenceServers,
	},
	{
		name:  "servers stand still at one place of their answers",
		begin: silenceAtPlace,
	},
	{
		name:  "servers stand still and leave connects unanswered",
		begin: silenceConnects,
	},
	{
		name:  "servers stand still while all others are full",
		begin: silenceBesideFull,
	},
	{
		name:  "servers stand still in series beside changes of the configuration",
		begin: silencesBesideChanges,
	},
	{
		name:  "configuration changes",
		begin: changeConfig,
	},
	{
		name:  "daemon stops or reloads settings while servers stand still",
		begin: signalDaemonInSilence,
	},
	{
		name:  "processes that run the sockets of servers stopped by a signal",
		begin: stopServerProcesses,
	},
	{
		name:  staleViewRow,
		begin: silenceStoreAfterChange,
	},
	{
		name:  "all daemons but one paused beside a change of the configuration",
		begin: pauseDaemonsBesideChange,
	},
	{
		name:  plannedStopRow,
		begin: stopDaemonsInSeries,
	},
	{
		name:  invalidAnswersRow,
		begin: writeInvalidAnswers,
	},
	{
		name:  mixedLengthsRow,
		begin: stopDaemonsInSeries,
	},
}

// Range of the times between faults and of their durations.
const (
	minFaultGap, maxFaultGap           = 150 * time.Millisecond, 1100 * time.Millisecond
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
)

// randomDuration returns a duration from minimum up to, not including, maximum.
func (s *soak) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// injectFaults injects random faults until a time. Faults overlap, and each ends by itself.
// Then it waits for maxFaultDuration; limits and restores may be pending even after that.
func (s *soak) injectFaults(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(s.randomDuration(minFaultGap, maxFaultGap))
		chosen := s.faults[s.random.IntN(len(s.faults))]
		duration := s.randomDuration(minFaultDuration, maxFaultDuration)
		end := chosen.begin(s)
		s.logf("%s (%s)", chosen.name, duration.Round(time.Millisecond))
		if end != nil {
			time.AfterFunc(duration, end)
		}
	}
	time.Sleep(maxFaultDuration)
}

// clearFaults ends all faults that are still active.
func (s *soak) clearFaults() {
	for _, timer := range s.timers {
		timer.Stop()
	}
	s.platform.Store.SetFault(standin.NoFault)
	for _, d := range s.daemons {
		d.storeProxy.SetFault(proxy.NoFault)
		d.clientProxy.SetFault(proxy.NoFault)
		s.signalDaemon(d, unix.SIGCONT)
		s.setLink(d, link.NoFault)
	}
	s.serverProxiesMutex.Lock()
	for _, serverProxy := range s.serverProxies {
		serverProxy.SetFault(proxy.NoFault)
	}
	s.serverProxiesMutex.Unlock()
	for _, service := range []string{standin.ServicePlain, standin.ServiceModel} {
		for _, server := range s.platform.Servers(service) {
			server.SetBehaviour(standin.Normal)
			server.SetSlowdown(0)
			server.ClearLimit()
		}
	}
}

// randomProxyFault returns a random fault of connections.
func (s *soak) randomProxyFault() proxy.Fault {
	return proxy.Fault(1 + s.random.IntN(int(proxy.Reset)))
}

// randomDaemon returns a random daemon.
func (s *soak) randomDaemon() *daemon {
	return s.daemons[s.random.IntN(len(s.daemons))]
}

// clearProxyFault returns a function that ends the fault of a proxy.
func clearProxyFault(disturbed *proxy.Proxy) func() {
	return func() { disturbed.SetFault(proxy.NoFault) }
}

// disturbStoreConnections injects a fault into a daemon's connections to the store.
func disturbStoreConnections(s *soak) func() {
	d := s.randomDaemon()
	d.storeProxy.SetFault(s.randomProxyFault())
	return clearProxyFault(d.storeProxy)
}

// disturbClientConnections injects a fault into the connections of a daemon's clients.
func disturbClientConnections(s *soak) func() {
	d := s.randomDaemon()
	d.clientProxy.SetFault(s.randomProxyFault())
	return clearProxyFault(d.clientProxy)
}

// disturbServerConnections injects a fault into all connections to a backend server.
func disturbServerConnections(s *soak) func() {
	disturbed := s.randomServerProxy()
	if disturbed == nil {
		return nil
	}
	disturbed.SetFault(s.randomProxyFault())
	end := s.beginExemption(nil)
	return func() {
		disturbed.SetFault(proxy.NoFault)
		end()
	}
}

// blackholeStoreConnections drops all further bytes of a daemon's open connections to the
// store and keeps the connections open.
func blackholeStoreConnections(s *soak) func() {
	s.randomDaemon().storeProxy.BlackholeOpenConnections()
	return nil
}

// blackholeServerConnections drops all further bytes of the open connections to a backend
// server and keeps the connections open.
func blackholeServerConnections(s *soak) func() {
	if serverProxy := s.randomServerProxy(); serverProxy != nil {
		serverProxy.BlackholeOpenConnections()
		s.exempt(nil, killExemption)
	}
	return nil
}

// randomServerProxy returns the proxy of a random server of the models, or nil if there is
// none.
func (s *soak) randomServerProxy() *proxy.Proxy {
	servers := s.platform.Servers(standin.ServiceModel)
	if len(servers) == 0 {
		return nil
	}
	s.serverProxiesMutex.Lock()
	defer s.serverProxiesMutex.Unlock()
	return s.serverProxies[servers[s.random.IntN(len(servers))].Address()]
}

// signalDaemon sends a signal to the process of a daemon.
func (s *soak) signalDaemon(d *daemon, signal unix.Signal) {
	s.signalProcess(d.name, signal)
}

// signalProcess sends a signal to a process, whose ID the script wrote to a file.
func (s *soak) signalProcess(name string, signal unix.Signal) {
	content, err := os.ReadFile(filepath.Join(s.options.Dir, name+".pid"))
	if err != nil {
		return // the script is starting the process
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil || pid <= 1 {
		return
	}
	// The error is ignored: the process may have ended since.
	_ = unix.Kill(pid, signal)
}

// signalRandomDaemon returns a fault that sends a signal to a random daemon.
func signalRandomDaemon(signal unix.Signal) func(s *soak) func() {
	return func(s *soak) func() {
		d := s.randomDaemon()
		s.exempt(d, stopExemption)
		s.signalDaemon(d, signal)
		return nil
	}
}

// pauseDaemon stops the process of a random daemon for a while.
func pauseDaemon(s *soak) func() {
	d := s.randomDaemon()
	end := s.beginExemption(d)
	s.signalDaemon(d, unix.SIGSTOP)
	return func() {
		s.signalDaemon(d, unix.SIGCONT)
		end()
	}
}

// killAllDaemons kills all daemons at once.
func killAllDaemons(s *soak) func() {
	s.killDaemons()
	return nil
}

// injectStoreFault returns a fault that makes the store misbehave for a while.
func injectStoreFault(fault standin.Fault) func(s *soak) func() {
	return func(s *soak) func() {
		s.platform.Store.SetFault(fault)
		return func() { s.platform.Store.SetFault(standin.NoFault) }
	}
}

// dropStoreHistory makes the store drop its history of changes.
func dropStoreHistory(s *soak) func() {
	s.platform.Store.DropHistory()
	return nil
}

// killMember starts an empty server in the domain of a member of an open group, and kills the
// member.
func killMember(s *soak) func() {
	if member := s.randomMember(); member != nil {
		s.replaceServer(member, (*standin.Server).Kill)
	}
	return nil
}

// randomMember returns a random member of an open group of a random model, or nil if that model
// has none.
func (s *soak) randomMember() *standin.Server {
	model := []string{standin.ModelLarge, standin.ModelSmall}[s.random.IntN(2)]
	heads := s.platform.Heads(model)
	if len(heads) == 0 {
		return nil
	}
	members := s.platform.Members(heads[s.random.IntN(len(heads))])
	return members[s.random.IntN(len(members))]
}

// restartMember makes a member of an open group crash and restart under its ID.
func restartMember(s *soak) func() {
	member := s.randomMember()
	if member == nil {
		return nil
	}
	if err := member.Restart(); err != nil {
		s.logf("server not restarted: %v", err)
	}
	return nil
}

// replacePlainServer starts a replacement for a plain server, and makes the server leave.
func replacePlainServer(s *soak) func() {
	servers := s.platform.Servers(standin.ServicePlain)
	s.replaceServer(servers[s.random.IntN(len(servers))], (*standin.Server).Leave)
	return nil
}

// replaceServer starts an empty server like the former one, and then ends the former one. If
// the new server does not start, the former one stays.
func (s *soak) replaceServer(former *standin.Server, end func(*standin.Server)) {
	if err := s.platform.StartReplacement(former); err != nil {
		s.logf("server not started: %v", err)
		return
	}
	end(former)
}

// misbehave makes a random server misbehave in one way for a while.
func misbehave(s *soak) func() {
	servers := append(s.platform.Servers(standin.ServicePlain), s.platform.Servers(standin.ServiceModel)...)
	server := servers[s.random.IntN(len(servers))]
	server.SetBehaviour(standin.Behaviour(1 + s.random.IntN(int(standin.ExtraAnswer))))
	return func() { server.SetBehaviour(standin.Normal) }
}

// rotateKeys revokes the key in force and issues another.
func rotateKeys(s *soak) func() {
	s.rotateKeys()
	return nil
}
