package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"headcourse/platform/wire"
)

const (
	// uploadBytes is the size of a body, within MaxBodyBytes; uploadsPerSecond is how many requests
	// reach each daemon.
	uploadBytes      = 4_000_000
	uploadsPerSecond = 12
	// Times of the play: the servers stand still standstillCount times for standstillTime, with
	// calmTime before and after each.
	standstillCount = 3
	standstillTime  = 4500 * time.Millisecond
	calmTime        = 5 * time.Second
	// memoryCheckInterval is how often the platform looks at the memory of a process.
	memoryCheckInterval = 20 * time.Millisecond
	bytesPerMb          = 1 << 20
)

// plainConfig is a configuration with one route of requests that may not be repeated.
func plainConfig() wire.Config {
	config := engineConfig()
	config.Routes = []wire.Route{
		{
			Name:        "r-unsafe",
			Host:        routeHost,
			PathPrefix:  pathUnsafe,
			Kind:        wire.KindUnsafe,
			TimeoutMs:   2000,
			GoalMs:      300,
			Priority:    2,
			Service:     serviceName,
			MaxAttempts: 1,
		},
	}
	config.Services = []wire.Service{
		{
			Name:       serviceName,
			HealthPath: "/health",
			MaxConns:   110,
		},
	}
	return config
}

// playMemory sends requests with bodies below MaxBodyBytes while all servers of the service stand
// still for some seconds, as often as standstillCount. No daemon may exceed the memory of its VM, for
// which the platform ends it.
func playMemory(p *play) (bool, error) {
	const servers, daemons = 3, 2
	if err := p.putConfig(plainConfig()); err != nil {
		return false, err
	}
	var backends []*process
	for number := range servers {
		started, err := p.startServer(serverSettings{
			ID:       fmt.Sprintf("i-%04d", number),
			Service:  serviceName,
			Capacity: 6,
			WorkMs:   60,
		})
		if err != nil {
			return false, err
		}
		backends = append(backends, started)
	}
	var fronts []*daemon
	for number := range daemons {
		started, err := p.startDaemon(number)
		if err != nil {
			return false, err
		}
		fronts = append(fronts, started)
	}
	if err := p.awaitReady(fronts...); err != nil {
		return false, err
	}
	return p.upload(backends, fronts)
}

// watched is a daemon whose memory the platform watches.
type watched struct {
	*daemon
	kills  int
	peakMb int
}

// upload sends the requests.
func (p *play) upload(backends []*process, fronts []*daemon) (bool, error) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	var all []*watched
	for _, front := range fronts {
		one := &watched{
			daemon: front,
		}
		all = append(all, one)
		running.Go(func() { p.watchMemory(one, stop) })
		running.Go(func() { p.sendUploads(front.front, stop) })
	}
	time.Sleep(calmTime)
	for range standstillCount {
		if p.isTroubled {
			p.record("platform: the servers stand still for %s", standstillTime)
			signalAll(backends, syscall.SIGSTOP)
		}
		time.Sleep(standstillTime)
		signalAll(backends, syscall.SIGCONT)
		time.Sleep(calmTime)
	}
	close(stop)
	running.Wait()
	isBroken := true
	for _, one := range all {
		p.record("%s: peak %d MB of %d MB, ended %d times for its memory", one.name, one.peakMb, memoryMb, one.kills)
		isBroken = isBroken && one.kills >= standstillCount
		if one.kills > 0 && !p.isTroubled {
			return false, errors.New("a daemon exceeded its memory without a disruption")
		}
	}
	return isBroken, nil
}

// signalAll sends a signal to processes.
func signalAll(processes []*process, sent syscall.Signal) {
	for _, one := range processes {
		one.signal(sent)
	}
}

// watchMemory ends a daemon that exceeds the memory of its VM, and starts it again, as the platform does.
func (p *play) watchMemory(d *watched, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		usedMb := residentMb(d.cmd.Process.Pid)
		d.peakMb = max(d.peakMb, usedMb)
		if usedMb <= memoryMb {
			continue
		}
		p.record("platform: %s uses %d MB of %d MB and is ended", d.name, usedMb, memoryMb)
		d.kills++
		d.kill()
		if err := p.run(d.daemon, false); err != nil {
			p.record("platform: %s does not start again: %s", d.name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process in megabytes, 0 if it has ended.
func residentMb(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err = fmt.Sscan(string(content), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() / bytesPerMb
}

// sendUploads sends requests to a daemon at a fixed rate, each from a client of its own.
func (p *play) sendUploads(address string, stop <-chan struct{}) {
	const timeout = 4 * time.Second
	body := make([]byte, uploadBytes)
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(time.Second / uploadsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			sender := &client{
				address: address,
			}
			p.record("client: %s", sender.send(pathUnsafe+"x", timeout, nil, body))
			sender.http.CloseIdleConnections()
		})
	}
}
