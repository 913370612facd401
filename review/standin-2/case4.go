package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Case 4: model servers answer without a length, as a server's answer may. One of them says that it is
// draining and is gone 2 s after the notice, with answers in progress. These must not appear complete.
const (
	streamEvents  = 75
	streamClients = 8
	noticeTime    = 2 * time.Second
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
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\nModel: %s\r\nToken-Counts: 100,%d\r\nPrompt-Prefix: %x:100\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
		path, hostName, id, apiKey, modelName, events*tokensAnEvent, id, streamTimeout.Milliseconds())
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return streamAnswer{
			err: err,
		}
	}
	body, err := io.ReadAll(reply.Body)
	_ = reply.Body.Close()
	return streamAnswer{
		status:  reply.StatusCode,
		seal:    reply.Header.Get("Server-Seal"),
		events:  strings.Count(string(body), "\n\n"),
		isWhole: err == nil,
		err:     err,
	}
}

// playTruncatedStreams plays case 4.
func playTruncatedStreams(s *stage) (bool, error) {
	const groupSize, runners = 2, 8
	s.writeConfig(groupSize)
	for i := range runners {
		if _, err := s.startRunner(runnerOptions{
			id:      fmt.Sprintf("i-%d", i),
			service: engineName,
			options: []string{"--domain", fmt.Sprintf("rack-%d", i%2), "--unframed"},
		}); err != nil {
			return false, err
		}
	}
	daemons, err := s.startDaemons(2)
	if err != nil {
		return false, err
	}
	// More groups follow; two suffice for a stream to go on elsewhere.
	const formLimit, groups = 20 * time.Second, 2
	if !await(formLimit, func() bool { return len(s.openHeads(runners)) >= groups }) {
		return false, fmt.Errorf("the groups are not open")
	}
	time.Sleep(time.Second)
	return s.playStreams(daemons, s.openHeads(runners)[0])
}

// openHeads returns the model servers whose groups are open.
func (s *stage) openHeads(runners int) []string {
	var open []string
	for i := range runners {
		id := fmt.Sprintf("i-%d", i)
		if strings.Contains(s.store.entryOf(id), `"State":"open"`) {
			open = append(open, id)
		}
	}
	return open
}

// takeAway makes a server leave on short notice, or with VARIANT=cut crash while it is cut off from the store.
func (s *stage) takeAway(victim string) error {
	if os.Getenv("VARIANT") == "cut" {
		s.store.setCutOff(victim, true)
		s.note("%s is cut off from the store", victim)
		time.Sleep(cutTime)
		s.killRunner(victim)
		return nil
	}
	s.mutex.Lock()
	p := s.runners[victim]
	s.mutex.Unlock()
	if _, err := p.stdin.Write([]byte("drain\n")); err != nil {
		return err
	}
	time.Sleep(noticeTime)
	s.killRunner(victim)
	return nil
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
		if err := s.takeAway(victim); err != nil {
			return false, err
		}
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
