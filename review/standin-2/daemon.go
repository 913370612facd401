package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// settingsText is the settings file of a daemon, as the platform writes it.
const settingsText = `NodeName: %[1]q
Role: "entry"
MachineClass: "front"
Serves:
  - "front"
Ip: %[2]q
Zone: "zone-a"
Region: "region"
Zones:
  zone-a: "region"
Listen:
  Front: "%[2]s:%[3]d"
  Ready: "%[2]s:%[4]d"
PortRange:
  - %[5]d
  - %[6]d
Bootstrap: true
CountsAsLoss: false
Limits:
  CpuShare: 0.4
  CpuCores: 1
  MemoryMb: %[7]d
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: %[8]d
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
  DrainMs: %[9]d
  GraceS: %[10]d
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
  Address: %[11]q
  form: "table"
  WritesPerS: 400
  ReadsPerS: 2000
  TxMs: 5.0
  PartWritesS: 200
  RowBytes: 65536
  Across: false
  HistoryS: 20
`

// daemon is one daemon of the project.
type daemon struct {
	stage    *stage
	name     string
	ip       string
	front    int
	ready    int
	metrics  int
	settings string
	process  *process
}

// frontAddress returns the IP:port for clients.
func (d *daemon) frontAddress() string {
	return fmt.Sprintf("%s:%d", d.ip, d.front)
}

// newDaemon writes the settings of a daemon.
func (s *stage) newDaemon(number int) (*daemon, error) {
	d := &daemon{
		stage: s,
		name:  fmt.Sprintf("front-%d", number),
		ip:    "127.0.0.1",
	}
	ports, err := freePorts(d.ip, 5)
	if err != nil {
		return nil, err
	}
	d.front, d.ready, d.metrics = ports[0], ports[1], ports[2]
	// Daemons speak to each other on the first two ports of their range.
	peer := ports[3]
	d.settings = filepath.Join(s.folder, d.name+".yaml")
	text := fmt.Sprintf(settingsText, d.name, d.ip, d.front, d.ready, peer, peer+1, memoryMb, heartbeatMs, drainMs, graceS, s.store.address)
	const fileMode = 0o600
	return d, os.WriteFile(d.settings, []byte(text), fileMode)
}

// start starts the daemon with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.stage.folder, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/headcourse", "entry", "--metrics-port", strconv.Itoa(d.metrics))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEADCOURSE_NODE_FILE=" + d.settings}
	command.Stderr = log
	d.process, err = d.stage.start(command, func(line string) { _, _ = fmt.Fprintln(log, line) })
	if err == nil {
		d.stage.note("%s is started", d.name)
	}
	return err
}

// isReady reports whether the daemon answers the platform's question with 200.
func (d *daemon) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", d.ip, d.ready))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// startDaemons starts daemons and waits until they are ready.
func (s *stage) startDaemons(count int) ([]*daemon, error) {
	var daemons []*daemon
	for number := range count {
		d, err := s.newDaemon(number)
		if err != nil {
			return nil, err
		}
		if err = d.start(); err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	const readyLimit = 15 * time.Second
	for _, d := range daemons {
		if !await(readyLimit, d.isReady) {
			return nil, fmt.Errorf("%s is not ready", d.name)
		}
	}
	return daemons, nil
}
