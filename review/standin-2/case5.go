package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case 5: a daemon is stopped. Clients whose channels were opened while the balancer still passed some to it send long
// streams more than 3 s after SIGTERM. A daemon that takes them must answer them whole.
const (
	shortEvents   = 5
	longEvents    = 55
	shortStreams  = 20
	longStreams   = 6
	openedAfter   = 800 * time.Millisecond
	sentAfter     = 3200 * time.Millisecond
	excusedBefore = 3 * time.Second
)

// lateStream is a stream on a channel that was opened some time before.
type lateStream struct {
	id     string
	target *daemon
	conn   net.Conn
	sentAt time.Time
	endAt  time.Time
	got    streamAnswer
}

// run sends the stream and reads its answer.
func (l *lateStream) run() {
	defer func() { _ = l.conn.Close() }()
	_ = l.conn.SetDeadline(time.Now().Add(streamTimeout + time.Second))
	l.sentAt = time.Now()
	l.got = exchangeStream(l.conn, enginePath+l.id, l.id, longEvents)
	l.endAt = time.Now()
}

// exchangeStream sends a stream on a channel and reads its answer.
func exchangeStream(conn net.Conn, path, id string, events int) streamAnswer {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\nModel: %s\r\nToken-Counts: 100,%d\r\nPrompt-Prefix: %x:100\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
		path, hostName, id, apiKey, modelName, events*tokensAnEvent, id, streamTimeout.Milliseconds())
	if err != nil {
		return streamAnswer{
			err: err,
		}
	}
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

// playStop plays case 5.
func playStop(s *stage) (bool, error) {
	if err := s.startEngines("--event-ms", "100"); err != nil {
		return false, err
	}
	daemons, err := s.startDaemons(2)
	if err != nil {
		return false, err
	}
	if err = s.awaitGroups(); err != nil {
		return false, err
	}
	if err = s.sendShortStreams(daemons); err != nil {
		return false, err
	}
	stoppedAt := time.Now()
	if s.hasTrouble {
		s.note("%s gets SIGTERM", daemons[0].name)
		daemons[0].process.signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceS*time.Second, func() { daemons[0].process.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	streams, err := s.openLate(daemons, stoppedAt)
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
	for _, l := range streams {
		clients.Go(l.run)
	}
	clients.Wait()
	return s.judgeLate(streams, stoppedAt)
}

// sendShortStreams sends streams with short answers to all daemons, as traffic of an ordinary minute does.
func (s *stage) sendShortStreams(daemons []*daemon) error {
	var clients sync.WaitGroup
	answers := make([]streamAnswer, shortStreams*len(daemons))
	for i := range answers {
		clients.Go(func() {
			id := fmt.Sprintf("short-%d", i)
			answers[i] = sendStream(daemons[i%len(daemons)].frontAddress(), enginePath+id, id, shortEvents)
		})
	}
	clients.Wait()
	for i, got := range answers {
		if !got.isWhole || got.events != shortEvents {
			return fmt.Errorf("short-%d got status %d and %d events: %w", i, got.status, got.events, got.err)
		}
	}
	s.note("%d streams with %d events each were served", len(answers), shortEvents)
	return nil
}

// openLate opens channels to all daemons while the balancer, which asks once a second and takes a daemon out after two
// misses, still passes new ones to each.
func (s *stage) openLate(daemons []*daemon, stoppedAt time.Time) ([]*lateStream, error) {
	time.Sleep(time.Until(stoppedAt.Add(openedAfter)))
	var streams []*lateStream
	for i := range longStreams * len(daemons) {
		l := &lateStream{
			id:     fmt.Sprintf("long-%d", i),
			target: daemons[i%len(daemons)],
		}
		var err error
		if l.conn, err = net.DialTimeout("tcp", l.target.frontAddress(), time.Second); err != nil {
			return nil, err
		}
		s.note("  request %s: channel to %s opened", l.id, l.target.name)
		streams = append(streams, l)
	}
	return streams, nil
}

// judgeLate judges the answers.
func (s *stage) judgeLate(streams []*lateStream, stoppedAt time.Time) (bool, error) {
	lost, whole, refused := 0, 0, 0
	for _, l := range streams {
		sent, end := l.sentAt.Sub(stoppedAt), l.endAt.Sub(stoppedAt)
		s.note("  request %s to %s: sent whole at %.2f s, ended at %.2f s with status %d, %d of %d events, complete: %t, run: %d, error: %v",
			l.id, l.target.name, sent.Seconds(), end.Seconds(), l.got.status, l.got.events, longEvents, l.got.isWhole, s.runs.of(l.id), l.got.err)
		isCut := !l.got.isWhole && s.runs.of(l.id) > 0 && end-sent < streamTimeout
		switch {
		case l.got.isWhole && l.got.events == longEvents:
			whole++
		case l.got.isWhole && l.got.status == http.StatusServiceUnavailable:
			refused++
		case isCut && sent > excusedBefore:
			lost++
			s.note("LOST: %s, sent %.2f s after SIGTERM and run by a server, ends %.2f s after it without a complete answer", l.id, sent.Seconds(), end.Seconds())
		}
	}
	s.note("%d long streams: %d whole, %d refused with 503, %d cut", len(streams), whole, refused, lost)
	if !s.hasTrouble && whole < len(streams) {
		return false, fmt.Errorf("only %d of %d streams are served without a disruption", whole, len(streams))
	}
	return lost > 0, nil
}
