package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Case 4: model servers answer without a length, as a server's answer may. One of them is cut off from the store, so that
// its entry lapses, and crashes behind the cut with answers in progress. These must not appear complete.
const (
	streamEvents  = 75
	streamClients = 8
	cutTime       = 5 * time.Second
	streamTimeout = 8 * time.Second
)

// streamAnswer is what the client of a stream got.
type streamAnswer struct {
	status int
	seal   string
	events int
	// isWhole is set if the answer's framing says that it is complete.
	isWhole bool
	err     error
}

// sendStream sends a stream on a new channel and reads its answer.
func sendStream(address, path, id string, events int) streamAnswer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return streamAnswer{
			err: err,
		}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout + time.Second))
	return exchangeStream(conn, path, id, events)
}

// playTruncatedStreams plays case 4.
func playTruncatedStreams(s *stage) (bool, error) {
	if err := s.startEngines("--unframed"); err != nil {
		return false, err
	}
	daemons, err := s.startDaemons(2)
	if err != nil {
		return false, err
	}
	if err = s.awaitGroups(); err != nil {
		return false, err
	}
	return s.playStreams(daemons, s.openHeads()[0])
}

// takeAway cuts a server off from the store and kills it behind the cut.
func (s *stage) takeAway(victim string) {
	s.store.setCutOff(victim, true)
	s.note("%s is cut off from the store", victim)
	time.Sleep(cutTime)
	s.killRunner(victim)
}

// playStreams sends streams, takes a server away meanwhile, and judges the answers.
func (s *stage) playStreams(daemons []*daemon, victim string) (bool, error) {
	answers := make([]streamAnswer, streamClients*len(daemons))
	var clients sync.WaitGroup
	for i := range answers {
		clients.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			s.note("  request %s is sent to %s", id, daemons[i%len(daemons)].name)
			answers[i] = sendStream(daemons[i%len(daemons)].frontAddress(), enginePath+id, id, streamEvents)
			got := answers[i]
			s.note("  request %s got status %d, seal %q, %d of %d events, complete: %t, error: %v", id, got.status, got.seal, got.events, streamEvents, got.isWhole, got.err)
		})
	}
	time.Sleep(time.Second)
	if s.hasTrouble {
		s.takeAway(victim)
	}
	clients.Wait()
	served, truncated := 0, 0
	for i, got := range answers {
		switch {
		case got.status == http.StatusOK && got.isWhole && got.seal != "" && got.events < streamEvents:
			truncated++
			s.note("MIXED, ORDER: stream-%d ends as complete after %d of %d events", i, got.events, streamEvents)
		case got.status == http.StatusOK && got.isWhole && got.events == streamEvents:
			served++
		}
	}
	s.note("%d streams, %d whole, %d ended early and appear complete", len(answers), served, truncated)
	if !s.hasTrouble && served < len(answers) {
		return false, fmt.Errorf("only %d of %d streams are served without a disruption", served, len(answers))
	}
	return truncated > 0, nil
}
