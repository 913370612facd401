package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/proxy"
	"headcourse/lab/standin"
)

// fault brings about one trouble and returns what ends it; nil where nothing is
// to be ended. Its name is for the log.
type fault struct {
	name  string
	begin func(s *soak) (end func())
}

// faults is the table of all troubles. A row is added at its end: seeds that are kept draw from
// the rows that there were when they were found.
var faults = []fault{
	{
		name:  "store of a daemon harmed",
		begin: harmStore,
	},
	{
		name:  "clients of a daemon harmed",
		begin: harmClients,
	},
	{
		name:  "backend server harmed",
		begin: harmServer,
	},
	{
		name:  "open connections to the store silent for good",
		begin: strandStore,
	},
	{
		name:  "open connections to a backend server silent for good",
		begin: strandServer,
	},
	{
		name:  "daemon stopped by SIGTERM",
		begin: signalOne(unix.SIGTERM),
	},
	{
		name:  "daemon killed",
		begin: signalOne(unix.SIGKILL),
	},
	{
		name:  "daemon told that settings changed",
		begin: signalOne(unix.SIGHUP),
	},
	{
		name:  "daemon paused",
		begin: pauseOne,
	},
	{
		name:  "all daemons killed",
		begin: killAll,
	},
	{
		name:  "store refuses all",
		begin: storeFault(standin.Refusing),
	},
	{
		name:  "store is silent",
		begin: storeFault(standin.Silent),
	},
	{
		name:  "answers to writes are lost",
		begin: storeFault(standin.Lossy),
	},
	{
		name:  "store forgets its history",
		begin: forget,
	},
	{
		name:  "member of a group dies",
		begin: killMember,
	},
	{
		name:  "member of a group starts again under its ID",
		begin: restartMember,
	},
	{
		name:  "plain server leaves",
		begin: replacePlain,
	},
	{
		name:  "server is in a bad mood",
		begin: badMood,
	},
	{
		name:  "servers turn requests away and ask for pauses",
		begin: askForPauses,
	},
	{
		name:  "plain server leaves and says so in its answers alone",
		begin: leaveByAnswers,
	},
	{
		name:  "keys change",
		begin: changeKeys,
	},
	{
		name:  "request that crashes its servers comes again and again",
		begin: crashServers,
	},
	{
		name:  "servers name limits",
		begin: nameLimits,
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
		name:  "servers turn cold",
		begin: coolServers,
	},
}

// Times between and of troubles.
const (
	leastGap, mostGap       = 150 * time.Millisecond, 1100 * time.Millisecond
	leastLength, mostLength = 200 * time.Millisecond, 2500 * time.Millisecond
)

// between draws a time.
func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// disturb brings about troubles until a time. They come in series and overlap;
// each ends by itself.
func (s *soak) disturb(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(s.between(leastGap, mostGap))
		chosen := s.faults[s.random.IntN(len(s.faults))]
		length := s.between(leastLength, mostLength)
		end := chosen.begin(s)
		s.say("%s (%s)", chosen.name, length.Round(time.Millisecond))
		if end != nil {
			time.AfterFunc(length, end)
		}
	}
	time.Sleep(mostLength)
}

// healAll ends whatever harm is left.
func (s *soak) healAll() {
	for _, timer := range s.timers {
		timer.Stop()
	}
	s.platform.Store.SetFault(standin.Well)
	for _, one := range s.daemons {
		one.store.Set(proxy.None)
		one.entry.Set(proxy.None)
		s.signal(one, unix.SIGCONT)
	}
	s.serversMutex.Lock()
	for _, one := range s.servers {
		one.Set(proxy.None)
	}
	s.serversMutex.Unlock()
	for _, service := range []string{standin.ServicePlain, standin.ServiceModel} {
		for _, server := range s.platform.Servers(service) {
			server.SetMood(standin.Good)
			server.EndLimit()
		}
	}
}

// harm draws a harm of connections.
func (s *soak) harm() proxy.Harm {
	return proxy.Harm(1 + s.random.IntN(int(proxy.Reset)))
}

// anyDaemon draws a daemon.
func (s *soak) anyDaemon() *daemon {
	return s.daemons[s.random.IntN(len(s.daemons))]
}

// heal returns what ends the harm of a proxy.
func heal(harmed *proxy.Proxy) func() {
	return func() { harmed.Set(proxy.None) }
}

// harmStore harms a daemon's connections to the store.
func harmStore(s *soak) func() {
	one := s.anyDaemon()
	one.store.Set(s.harm())
	return heal(one.store)
}

// harmClients harms the connections of a daemon's clients.
func harmClients(s *soak) func() {
	one := s.anyDaemon()
	one.entry.Set(s.harm())
	return heal(one.entry)
}

// harmServer harms all connections to a backend server.
func harmServer(s *soak) func() {
	harmed := s.anyServer()
	if harmed == nil {
		return nil
	}
	harmed.Set(s.harm())
	end := s.beginExcuse(nil)
	return func() {
		harmed.Set(proxy.None)
		end()
	}
}

// strandStore silences the open connections of a daemon to the store for good.
func strandStore(s *soak) func() {
	s.anyDaemon().store.Strand()
	return nil
}

// strandServer silences the open connections to a backend server for good.
func strandServer(s *soak) func() {
	if harmed := s.anyServer(); harmed != nil {
		harmed.Strand()
		s.excuse(nil, killTime)
	}
	return nil
}

// anyServer draws the proxy before a server of the models; nil where there is none.
func (s *soak) anyServer() *proxy.Proxy {
	servers := s.platform.Servers(standin.ServiceModel)
	if len(servers) == 0 {
		return nil
	}
	s.serversMutex.Lock()
	defer s.serversMutex.Unlock()
	return s.servers[servers[s.random.IntN(len(servers))].Address()]
}

// signal sends a signal to the process of a daemon that the script has started,
// by the id that it left.
func (s *soak) signal(one *daemon, signal unix.Signal) {
	content, err := os.ReadFile(filepath.Join(s.options.Dir, one.name+".pid"))
	if err != nil {
		return // it is being started
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil || pid <= 1 {
		return
	}
	// The process may have ended since.
	_ = unix.Kill(pid, signal)
}

// signalOne sends a signal to one daemon.
func signalOne(signal unix.Signal) func(s *soak) func() {
	return func(s *soak) func() {
		one := s.anyDaemon()
		s.excuse(one, stopTime)
		s.signal(one, signal)
		return nil
	}
}

// pauseOne pauses a daemon for a while.
func pauseOne(s *soak) func() {
	one := s.anyDaemon()
	end := s.beginExcuse(one)
	s.signal(one, unix.SIGSTOP)
	return func() {
		s.signal(one, unix.SIGCONT)
		end()
	}
}

// killAll kills all daemons at once.
func killAll(s *soak) func() {
	s.excuse(nil, killTime)
	for _, one := range s.daemons {
		s.signal(one, unix.SIGKILL)
	}
	return nil
}

// storeFault gives the store a fault for a while.
func storeFault(fault standin.Fault) func(s *soak) func() {
	return func(s *soak) func() {
		s.platform.Store.SetFault(fault)
		return func() { s.platform.Store.SetFault(standin.Well) }
	}
}

// forget has the store forget its history.
func forget(s *soak) func() {
	s.platform.Store.Forget()
	return nil
}

// killMember kills a member of an open group, and starts an empty server in its
// domain.
func killMember(s *soak) func() {
	if member := s.anyMember(); member != nil {
		s.replace(member, (*standin.Server).Kill)
	}
	return nil
}

// anyMember draws a member of an open group; nil where there is none.
func (s *soak) anyMember() *standin.Server {
	model := []string{standin.ModelLarge, standin.ModelSmall}[s.random.IntN(2)]
	heads := s.platform.Heads(model)
	if len(heads) == 0 {
		return nil
	}
	members := s.platform.Members(heads[s.random.IntN(len(heads))])
	return members[s.random.IntN(len(members))]
}

// restartMember has a member of an open group crash and start again under its ID.
func restartMember(s *soak) func() {
	member := s.anyMember()
	if member == nil {
		return nil
	}
	if err := member.Restart(); err != nil {
		s.say("server was not started again: %v", err)
	}
	return nil
}

// replacePlain has a plain server leave, and starts another.
func replacePlain(s *soak) func() {
	servers := s.platform.Servers(standin.ServicePlain)
	s.replace(servers[s.random.IntN(len(servers))], (*standin.Server).Leave)
	return nil
}

// replace starts a server like another, which then ends.
func (s *soak) replace(former *standin.Server, end func(*standin.Server)) {
	if err := s.platform.StartLike(former); err != nil {
		s.say("no server could be started: %v", err)
		return
	}
	end(former)
}

// badMood gives a server a mood for a while.
func badMood(s *soak) func() {
	servers := append(s.platform.Servers(standin.ServicePlain), s.platform.Servers(standin.ServiceModel)...)
	one := servers[s.random.IntN(len(servers))]
	one.SetMood(standin.Mood(1 + s.random.IntN(int(standin.Extra))))
	return func() { one.SetMood(standin.Good) }
}

// changeKeys withdraws the key in use and gives out another.
func changeKeys(s *soak) func() {
	s.changeKeys()
	return nil
}
