package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the deployment, as in the settings of a small one.
const (
	heartbeatMs = 1200
	drainMs     = 2000
	graceS      = 8
	memoryMb    = 284
)

// stage is one play of a case: its record, its store and its processes.
type stage struct {
	hasTrouble bool
	store      *store
	// folder holds the settings files and the daemons' logs.
	folder  string
	started time.Time

	mutex     sync.Mutex
	record    *os.File
	processes []*process
	runners   map[string]*process
	runs      runLedger
}

// newStage returns a stage that writes its record into a folder.
func newStage(folder string) (*stage, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	started := time.Now()
	s := &stage{
		hasTrouble: os.Getenv("TROUBLE") != "0",
		folder:     temporary,
		started:    started,
		record:     record,
		runners:    map[string]*process{},
	}
	s.store, err = newStore(s)
	return s, err
}

// note writes a line into the record.
func (s *stage) note(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = s.record.WriteString(line)
	if !strings.Contains(line, "  request ") {
		fmt.Print(line)
	}
}

// close ends all processes that the stage started.
func (s *stage) close() {
	s.mutex.Lock()
	processes := s.processes
	s.mutex.Unlock()
	for _, p := range processes {
		p.kill()
	}
	s.store.close()
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// process is a child process.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// signal sends a signal.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// start starts a process. onLine, if set, receives the lines of its standard output.
func (s *stage) start(command *exec.Cmd, onLine func(string)) (*process, error) {
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = command.Start(); err != nil {
		return nil, err
	}
	p := &process{
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		lines := bufio.NewScanner(stdout)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = command.Wait()
		close(p.ended)
	}()
	s.mutex.Lock()
	s.processes = append(s.processes, p)
	s.mutex.Unlock()
	return p, nil
}

// Free ports are taken from below the range from which systems take the ports of outgoing connections.
const (
	firstPort = 20_000
	portCount = 10_000
)

// freePorts returns ports that are free at an address and follow each other.
func freePorts(ip string, count int) ([]int, error) {
	const maxTries = 1000
	for range maxTries {
		first := firstPort + rand.IntN(portCount)
		if areFree(ip, first, count) {
			ports := make([]int, count)
			for i := range ports {
				ports[i] = first + i
			}
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports in a row", count)
}

// areFree reports whether ports are free.
func areFree(ip string, first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		defer func() { _ = listener.Close() }()
	}
	return true
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
