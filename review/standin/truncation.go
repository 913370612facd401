package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"headcourse/platform/wire"
)

const (
	// streamsInPlay is how many streams run when the notice comes, and streamEvents how many events
	// each has.
	streamsInPlay = 12
	streamEvents  = 40
	// noticeTime is the time from the notice to the end of a server.
	noticeTime = 2 * time.Second
)

// engineConfig is a configuration with one model of groups of two servers.
func engineConfig() wire.Config {
	config := wire.Config{
		Version: 1,
		Routes: []wire.Route{
			{
				Name:        "r-stream",
				Host:        routeHost,
				PathPrefix:  pathStream,
				Kind:        wire.KindStream,
				TimeoutMs:   8000,
				GoalMs:      500,
				Priority:    1,
				Service:     engineName,
				MaxAttempts: 2,
				Resumable:   true,
				GapGoalMs:   300,
			},
		},
		Services: []wire.Service{
			{
				Name:       engineName,
				HealthPath: "/health",
				MaxConns:   474,
				Engine: &wire.Engine{
					Capacity: 26,
					Models: []wire.Model{
						{
							Name:    modelName,
							Size:    2,
							Share:   1,
							Pace:    1,
							LoadS:   joinTime.Seconds(),
							WarmupS: joinTime.Seconds(),
						},
					},
					LoadsPerS:      4,
					LoadsAtOnce:    6,
					CachedPrefixes: 1,
					FormMs:         float64(formTime.Milliseconds()),
					StepMs:         6.07,
					PerSeqMs:       0.241,
					ReadPerS:       46000,
					Chunk:          2048,
					Stride:         tokensPerEvent,
					FarX:           3,
				},
			},
		},
		Limits: wire.Limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    4194304,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
		Tenants: []wire.Tenant{
			{
				Name:    "cuenca",
				APIKeys: []string{key},
			},
		},
	}
	config.Services[0].Engine.Usual.Prompt = 100
	config.Services[0].Engine.Usual.Answer = streamEvents * tokensPerEvent
	return config
}

// playTruncation crashes all servers of the only domain in the middle of their streams, which have no
// length. No stream may end as complete before its last event. With VARIANT=notice one head has the
// notice that it has to leave, and only this one is ended noticeTime later.
func playTruncation(p *play) (bool, error) {
	const engines, daemons = 4, 2
	if err := p.putConfig(engineConfig()); err != nil {
		return false, err
	}
	servers := map[string]*process{}
	for number := range engines {
		id := fmt.Sprintf("i-%04d", number)
		started, err := p.startServer(serverSettings{
			ID:       id,
			Service:  engineName,
			Domain:   "rack-1",
			Capacity: 26,
		})
		if err != nil {
			return false, err
		}
		servers[id] = started
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
	if err := p.awaitStreams(fronts); err != nil {
		return false, err
	}
	return p.truncate(servers, fronts)
}

// awaitStreams waits until each daemon serves streams.
func (p *play) awaitStreams(fronts []*daemon) error {
	for _, front := range fronts {
		first := &client{
			address: front.front,
		}
		if !await(func() bool { return first.stream(1).isComplete() }) {
			return fmt.Errorf("%s serves no stream", front.name)
		}
	}
	return nil
}

// truncate starts streams and ends one of the heads that run them.
func (p *play) truncate(servers map[string]*process, fronts []*daemon) (bool, error) {
	const settle = time.Second
	calls := make([]call, streamsInPlay)
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			sender := &client{
				address: fronts[i%len(fronts)].front,
			}
			calls[i] = sender.stream(streamEvents)
			p.record("client: %s", calls[i])
		})
	}
	time.Sleep(settle)
	if os.Getenv("VARIANT") == "notice" {
		if err := p.endAfterNotice(servers); err != nil {
			return false, err
		}
	} else if p.isTroubled {
		for id, one := range servers {
			p.record("platform: server %s crashes", id)
			one.signal(syscall.SIGKILL)
		}
	}
	running.Wait()
	return p.judgeStreams(calls), nil
}

// endAfterNotice gives a head the notice to leave, and ends it later.
func (p *play) endAfterNotice(servers map[string]*process) error {
	head := p.firstHead()
	if head == "" {
		return errors.New("no group is open")
	}
	p.record("platform: server %s has the notice to leave", head)
	servers[head].signal(syscall.SIGUSR1)
	time.Sleep(noticeTime)
	if p.isTroubled {
		p.record("platform: server %s is ended", head)
		servers[head].signal(syscall.SIGKILL)
	}
	return nil
}

// judgeStreams reports whether a stream ended as complete before its last event.
func (p *play) judgeStreams(calls []call) bool {
	early, whole := 0, 0
	for _, ended := range calls {
		switch {
		case !ended.isComplete():
		case ended.body == expectedStream(ended.id, streamEvents):
			whole++
		default:
			early++
			p.record("rule ORDER broken: the stream of request %s ended as complete with %d of %d events", ended.id, strings.Count(ended.body, "\n\n"), streamEvents)
		}
	}
	p.record("%d of %d streams ended as complete too early, %d are whole", early, streamsInPlay, whole)
	return early > 0
}

// firstHead returns the ID of the head of an open group that is first by ID; empty if none is open.
func (p *play) firstHead() string {
	heads := p.heads()
	if len(heads) == 0 {
		return ""
	}
	return slices.Min(heads)
}

// heads returns the IDs of the heads of open groups.
func (p *play) heads() []string {
	p.store.mutex.Lock()
	defer p.store.mutex.Unlock()
	var heads []string
	for _, row := range p.store.rows {
		if row.Table == wire.TableServers && strings.Contains(string(row.Value), `"State":"open"`) {
			heads = append(heads, row.Key)
		}
	}
	return heads
}
