package soak

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pkg/errors"

	"headcourse/lab/serversockets"
	"headcourse/lab/standin"
)

// serverProcesses are the names of the processes that run the sockets of some servers.
var serverProcesses = []string{"servers-0", "servers-1"}

// serversPerProcessSocket is how many servers there are for each one whose socket is in a process of its own.
const serversPerProcessSocket = 3

// processSockets are the servers whose sockets are in processes of their own.
type processSockets struct {
	// count counts the servers. processes has the process of each advertised address. They are guarded by
	// serverProxiesMutex.
	count     int
	processes map[string]string
}

// listServerProcesses makes the script start the processes, if the seed draws silences, and waits for them.
func (s *soak) listServerProcesses() error {
	const fileMode = 0o600
	s.sockets.processes = map[string]string{}
	if !s.drawsSilences() {
		return nil
	}
	// The script reads the file when it is complete.
	list := filepath.Join(s.options.Dir, "servers")
	if err := os.WriteFile(list+".new", []byte(strings.Join(serverProcesses, "\n")+"\n"), fileMode); err != nil {
		return errors.Wrap(err, "write the list of processes")
	}
	if err := os.Rename(list+".new", list); err != nil {
		return errors.Wrap(err, "write the list of processes")
	}
	for _, name := range serverProcesses {
		if err := serversockets.AwaitStart(s.addressFile(name)); err != nil {
			return err
		}
	}
	return nil
}

// addressFile returns the path of the file to which a process writes its address.
func (s *soak) addressFile(process string) string {
	return filepath.Join(s.options.Dir, process+".address")
}

// openSocket returns the address of a socket before a proxy: that of a process for some servers, or the proxy's own.
func (s *soak) openSocket(proxyAddress string) (string, error) {
	if !s.drawsSilences() {
		return proxyAddress, nil
	}
	s.serverProxiesMutex.Lock()
	number := s.sockets.count
	s.sockets.count++
	s.serverProxiesMutex.Unlock()
	if number%serversPerProcessSocket != 0 {
		return proxyAddress, nil
	}
	process := serverProcesses[number/serversPerProcessSocket%len(serverProcesses)]
	address, err := serversockets.Open(s.addressFile(process), proxyAddress)
	if err != nil {
		return "", err
	}
	s.serverProxiesMutex.Lock()
	defer s.serverProxiesMutex.Unlock()
	s.sockets.processes[address] = process
	return address, nil
}

// process returns the process that runs a server's socket; empty if it is the soak's own.
func (s *soak) process(server *standin.Server) string {
	s.serverProxiesMutex.Lock()
	defer s.serverProxiesMutex.Unlock()
	return s.sockets.processes[server.Address()]
}

// stopProcess stops a process by a signal for a duration.
func (s *soak) stopProcess(process string, duration time.Duration) {
	for _, server := range s.allServers() {
		if s.process(server) == process {
			server.HoldArrivals(duration)
		}
	}
	s.signalProcess(process, unix.SIGSTOP)
	time.AfterFunc(duration, func() { s.signalProcess(process, unix.SIGCONT) })
}

// stopServerProcesses stops one process that runs the sockets of servers, or all.
func stopServerProcesses(s *soak) func() {
	chosen := serverProcesses
	if s.random.IntN(2) == 0 {
		first := s.random.IntN(len(serverProcesses))
		chosen = serverProcesses[first : first+1]
	}
	silence := s.randomSilence()
	for _, process := range chosen {
		s.stopProcess(process, silence)
	}
	return nil
}

// standStill makes servers stand still for one duration: processes whose servers are all among them by a signal.
func (s *soak) standStill(servers []*standin.Server, duration time.Duration) {
	spared := map[string]bool{}
	chosen := map[*standin.Server]bool{}
	for _, server := range servers {
		chosen[server] = true
	}
	for _, server := range s.allServers() {
		if !chosen[server] {
			spared[s.process(server)] = true
		}
	}
	for _, process := range serverProcesses {
		if !spared[process] {
			s.stopProcess(process, duration)
		}
	}
	for _, server := range servers {
		if process := s.process(server); process == "" || spared[process] {
			server.StandStill(standin.Everywhere, duration)
		}
	}
}
