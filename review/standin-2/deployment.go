package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Names in the configuration.
const (
	hostName    = "water.example"
	apiKey      = "key-of-cuenca"
	modelName   = "model"
	enginePath  = "/summary/"
	engineName  = "redactor"
	maxBodySize = 4 << 20
)

// writeConfig writes the operator's configuration: a service of model servers with a route of
// streams that may be resumed.
func (s *stage) writeConfig(groupSize int) {
	s.store.put("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{
				"Name": "r-1", "Host": hostName, "PathPrefix": enginePath, "Kind": "stream", "TimeoutMs": 8000, "GoalMs": 500, "Priority": 1,
				"Service": engineName, "MaxAttempts": 2, "Public": false, "Affinity": true, "Resumable": true, "GapGoalMs": 300,
			},
		},
		"Services": []any{
			map[string]any{
				"Name": engineName, "HealthPath": "/health", "MaxConns": 474,
				"Engine": map[string]any{
					"Capacity": 26, "KvCapacity": 1400000, "Stride": tokensAnEvent,
					"Models":  []any{map[string]any{"Name": modelName, "size": groupSize, "Share": 1, "pace": 1, "LoadS": 0.2, "WarmupS": 0.2}},
					"step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000, "pairs_per_m": 0.7, "chunk": 2048,
					"LoadsPerS": 4, "loads_at_once": 6, "usual": map[string]any{"prompt": 1076, "answer": 116}, "CachedPrefixes": 1, "far_x": 3, "FormMs": 300,
				},
			},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodySize, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 60000},
		"Tenants": []any{map[string]any{"Name": "cuenca", "ApiKeys": []any{apiKey}}},
	})
}

// engineCount is the number of model servers, in two domains; groups have two.
const engineCount = 8

// engineID returns the ID of a model server.
func engineID(number int) string {
	return fmt.Sprintf("i-%d", number)
}

// startEngines writes the configuration and starts the model servers.
func (s *stage) startEngines(options ...string) error {
	const groupSize, domains = 2, 2
	s.writeConfig(groupSize)
	for i := range engineCount {
		if _, err := s.startRunner(runnerOptions{
			id:      engineID(i),
			service: engineName,
			options: append([]string{"--domain", fmt.Sprintf("rack-%d", i%domains)}, options...),
		}); err != nil {
			return err
		}
	}
	return nil
}

// openHeads returns the model servers whose groups are open.
func (s *stage) openHeads() []string {
	var open []string
	for i := range engineCount {
		if strings.Contains(s.store.entryOf(engineID(i)), `"State":"open"`) {
			open = append(open, engineID(i))
		}
	}
	return open
}

// awaitGroups waits until groups are open. More follow; two suffice for a stream to go on elsewhere.
func (s *stage) awaitGroups() error {
	const limit, groups = 20 * time.Second, 2
	if !await(limit, func() bool { return len(s.openHeads()) >= groups }) {
		return errors.New("the groups are not open")
	}
	time.Sleep(time.Second)
	return nil
}

// runnerOptions are the options of one backend server.
type runnerOptions struct {
	id      string
	service string
	// address is IP:port; empty means a free port.
	address string
	options []string
}

// startRunner starts a backend server as a process of its own. Its lines go to the record.
func (s *stage) startRunner(o runnerOptions) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if o.address == "" {
		const ip = "127.0.0.1"
		ports, err := freePorts(ip, 1)
		if err != nil {
			return nil, err
		}
		o.address = fmt.Sprintf("%s:%d", ip, ports[0])
	}
	arguments := append([]string{"runner", "--id", o.id, "--address", o.address, "--service", o.service, "--store", s.store.address}, o.options...)
	p, err := s.start(exec.Command(program, arguments...), func(line string) {
		separator := " "
		if strings.Contains(line, "request ") {
			separator = "  request at "
		}
		s.note("%s%s%s", separator, o.id+" ", line)
		s.countLine(o.id, line)
	})
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.runners[o.id] = p
	s.mutex.Unlock()
	return p, nil
}

// countLine keeps what servers ran, by the ID of the request.
func (s *stage) countLine(_, line string) {
	if id, ok := strings.CutPrefix(line, "runs request "); ok {
		id, _, _ = strings.Cut(id, " ")
		s.runs.add(id)
	}
}

// killRunner kills a backend server with SIGKILL.
func (s *stage) killRunner(id string) {
	s.mutex.Lock()
	p := s.runners[id]
	s.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
	s.note("%s is killed", id)
}
