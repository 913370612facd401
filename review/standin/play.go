package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"headcourse/platform/wire"
)

const (
	// timeFormat is the format of times in the record.
	timeFormat = "15:04:05.000"
	// tokensPerEvent is how many tokens an event of a stream holds.
	tokensPerEvent = 5
	// daemonProgram and daemonArguments are the command of the deploy file.
	daemonProgram = "target/headcourse"
	// pollInterval is the time between two looks at something that is awaited.
	pollInterval = 50 * time.Millisecond
)

// daemonArguments are the arguments of the command of the deploy file.
var daemonArguments = []string{"entry", "--metrics-port", "9464"}

// Names in the configuration of the plays.
const (
	routeHost   = "water.example"
	key         = "key-of-cuenca"
	storeHost   = "127.0.0.1"
	serverHost  = "127.0.0.1"
	zone        = "zone-a"
	modelName   = "m0"
	pathStream  = "/reports/"
	pathUnsafe  = "/registry/"
	engineName  = "engines"
	serviceName = "board"
)

// play is one play of a case.
type play struct {
	isTroubled bool
	dir        string
	store      *store

	mutex     sync.Mutex
	recorded  *os.File
	processes []*process
	// isClosed is set when no process may be started any more.
	isClosed bool
}

// maxPlayTime bounds a play, so that a slow start does not make it longer than allowed.
const maxPlayTime = 110 * time.Second

// newPlay starts a store, and records to a file.
func newPlay(recordPath string) (*play, error) {
	recorded, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	started, err := startStore(storeHost)
	if err != nil {
		return nil, err
	}
	p := &play{
		isTroubled: os.Getenv("TROUBLE") != "0",
		dir:        dir,
		store:      started,
		recorded:   recorded,
	}
	p.record("trouble: %t", p.isTroubled)
	go p.closeEarly()
	return p, nil
}

// closeEarly ends the play as one that could not run, if it is asked to or takes too long.
func (p *play) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		p.record("the case could not run: it was ended")
	case <-time.After(maxPlayTime):
		p.record("the case could not run: it took longer than %s", maxPlayTime)
	}
	p.close()
	os.Exit(exitFailure)
}

// record writes a line to the record and to the standard output.
func (p *play) record(format string, arguments ...any) {
	p.write(time.Now().Format(timeFormat) + " " + fmt.Sprintf(format, arguments...) + "\n")
}

// write writes text to the record and to the standard output.
func (p *play) write(text string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, _ = io.WriteString(p.recorded, text)
	_, _ = io.WriteString(os.Stdout, text)
}

// Write writes what a backend server logs to the record.
func (p *play) Write(text []byte) (int, error) {
	p.write(string(text))
	return len(text), nil
}

// close ends all processes that the play started, and removes its files.
func (p *play) close() {
	p.mutex.Lock()
	p.isClosed = true
	processes := slices.Clone(p.processes)
	p.mutex.Unlock()
	for _, started := range processes {
		started.kill()
	}
	_ = os.RemoveAll(p.dir)
	_ = p.recorded.Close()
}

// process is a process that a play started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a process. Its output goes to output.
func (p *play) start(name string, output io.Writer, environment []string, program string, arguments ...string) (*process, error) {
	cmd := exec.Command(program, arguments...)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.Env = append(os.Environ(), environment...)
	started := &process{
		name:  name,
		cmd:   cmd,
		ended: make(chan struct{}),
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed {
		return nil, errors.New("the play has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.processes = append(p.processes, started)
	go func() {
		_ = cmd.Wait()
		close(started.ended)
	}()
	return started, nil
}

// signal sends a signal to a process, unless it has ended.
func (s *process) signal(sent syscall.Signal) {
	select {
	case <-s.ended:
	default:
		_ = s.cmd.Process.Signal(sent)
	}
}

// kill ends a process and waits for its end.
func (s *process) kill() {
	s.signal(syscall.SIGCONT)
	s.signal(syscall.SIGKILL)
	<-s.ended
}

// startServer starts a backend server.
func (p *play) startServer(settings serverSettings) (*process, error) {
	settings.Host = serverHost
	settings.Store = p.store.address
	settings.Zone = zone
	settings.IsChunked = os.Getenv("CHUNKED") == "1"
	encoded, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return p.start(settings.ID, p, nil, program, "server", string(encoded))
}

// putConfig writes the operator's configuration.
func (p *play) putConfig(config wire.Config) error {
	encoded, err := json.Marshal(config)
	if err != nil {
		return err
	}
	p.store.put(wire.TableConfig, wire.KeyConfig, encoded)
	return nil
}

// daemon is a daemon that a play runs.
type daemon struct {
	*process
	name      string
	host      string
	front     string
	ready     string
	settings  string
	firstPort int
}

// memoryMb is the memory of the VM of a daemon, in megabytes.
const memoryMb = 284

// settingsText is the text of a settings file, with the fields and figures of a small deployment.
const settingsText = `NodeName: %q
Role: "entry"
MachineClass: "front"
Serves:
  - "front"
Ip: %q
Zone: %q
Region: "region-a"
Zones:
  %s: "region-a"
Listen:
  Front: %q
  Ready: %q
PortRange:
  - %d
  - %d
Bootstrap: %t
CountsAsLoss: false
Limits:
  CpuShare: 0.4
  CpuCores: 1
  MemoryMb: %d
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"]
FaultTolerance:
  Machines: 2
  Zones: 0
  Regions: 0
Bounds:
  SeedLagS: 3
  AddrReuseS: 2
  ContactMs: 3000
  AckMs: 4000
  SyncS: 4
  DrainMs: 2000
  GraceS: 8
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RollbackSlackMs: 250
  MaxStretchMs: 5000
  StrictRevoke: true
  RevokeMs: 5000
  RetryRatio: 0.2
  RetryWindowS: 10
  RetryBurst: 136
  RecoveryS: 12
  PassMs: 120
  RetryAfterS: 0
  StallMs: 5000
  RequireFence: false
  CeilingWindowS: 5
  CeilingExcess: 1.1
Platform:
  Address: %q
  form: "table"
  WritesPerS: 400
  ReadsPerS: 2000
  TxMs: 5.0
  PartWritesS: 200
  RowBytes: 65536
  Across: false
  HistoryS: 20
`

// freePorts returns two free ports of a host that follow each other.
func freePorts(host string) (int, error) {
	const attempts = 100
	for range attempts {
		first, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(port+1)))
		_ = first.Close()
		if err == nil {
			_ = second.Close()
			return port, nil
		}
	}
	return 0, errors.New("no two free ports follow each other")
}

// startDaemon starts a daemon on a loopback address of its own. Its number is in the address.
func (p *play) startDaemon(number int) (*daemon, error) {
	const firstHost = 11
	host := fmt.Sprintf("127.0.0.%d", firstHost+number)
	own, err := freePorts(host)
	if err != nil {
		return nil, err
	}
	clients, err := freePorts(host)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		name:      fmt.Sprintf("front-%d", number),
		host:      host,
		front:     net.JoinHostPort(host, fmt.Sprint(clients)),
		ready:     net.JoinHostPort(host, fmt.Sprint(clients+1)),
		settings:  filepath.Join(p.dir, fmt.Sprintf("front-%d.yaml", number)),
		firstPort: own,
	}
	return d, p.run(d, true)
}

// run runs the process of a daemon.
func (p *play) run(d *daemon, isFirst bool) error {
	text := fmt.Sprintf(settingsText, d.name, d.host, zone, zone, d.front, d.ready, d.firstPort, d.firstPort+1, isFirst, memoryMb, p.store.address)
	const fileMode = 0o600
	if err := os.WriteFile(d.settings, []byte(text), fileMode); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.logDir(), d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	d.process, err = p.start(d.name, log, []string{"HEADCOURSE_NODE_FILE=" + d.settings}, daemonProgram, daemonArguments...)
	return err
}

// logDir is the folder of the daemons' logs: that in LOGS, or else the temporary one.
func (p *play) logDir() string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return p.dir
}

// awaitReady waits until the daemons answer the platform's probe with 200.
func (p *play) awaitReady(daemons ...*daemon) error {
	for _, d := range daemons {
		if !await(func() bool { return d.isReady() }) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

// isReady reports whether a daemon answers the platform's probe with 200.
func (d *daemon) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits for a condition, and reports whether it was met in time.
func await(isMet func() bool) bool {
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if isMet() {
			return true
		}
	}
	return false
}
