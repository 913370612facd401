package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Case 5: clients send large bodies, within MaxBodyBytes, over kept channels to two daemons. One daemon is killed and
// starts again, so that its clients go to the other one, which must bear them.
const (
	bodyBytes     = 4_000_000
	uploadPieces  = 50
	uploadClients = 26
	workTime      = time.Second
	uploadTime    = time.Second
	pauseTime     = 100 * time.Millisecond
	quietSeconds  = 6
	downTime      = 3500 * time.Millisecond
	playTime      = 20 * time.Second
	deadlineTime  = 8 * time.Second
	// maxLost is how many requests the rule allows.
	maxLost = 3
)

// uploader is a client that sends one large body after the other.
type uploader struct {
	stage   *stage
	number  int
	home    int
	daemons []*daemon
	balance *balancer
	tally   *uploadTally
}

// uploadTally counts how the requests ended.
type uploadTally struct {
	mutex    sync.Mutex
	answered map[int]int
	// lost are requests on kept channels that reached a server and whose channel was closed without an answer.
	lost   map[*daemon]int
	others int
}

// balancer asks the daemons whether they are ready, once a second, as the platform does.
type balancer struct {
	mutex sync.Mutex
	out   map[*daemon]bool
}

// run asks until stop is closed.
func (b *balancer) run(daemons []*daemon, stop <-chan struct{}) {
	misses := map[*daemon]int{}
	for {
		for _, d := range daemons {
			if d.isReady() {
				misses[d] = 0
			} else {
				misses[d]++
			}
			b.mutex.Lock()
			b.out[d] = misses[d] >= 2
			b.mutex.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// choose returns a daemon that is in.
func (b *balancer) choose(daemons []*daemon, home int) *daemon {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range daemons {
		if d := daemons[(home+i)%len(daemons)]; !b.out[d] {
			return d
		}
	}
	return daemons[home%len(daemons)]
}

// run sends requests until stop is closed.
func (u *uploader) run(stop <-chan struct{}) {
	body := bytes.Repeat([]byte("reading 12.5 bar\n"), bodyBytes/17)
	for number := 0; ; {
		target := u.balance.choose(u.daemons, u.home)
		u.home++
		conn, err := net.DialTimeout("tcp", target.frontAddress(), time.Second)
		if err != nil {
			time.Sleep(pauseTime)
			continue
		}
		reader := bufio.NewReader(conn)
		for isKept := false; ; isKept = true {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(pauseTime):
			}
			number++
			if !u.send(conn, reader, target, fmt.Sprintf("upload-%d-%d", u.number, number), body, isKept) {
				break
			}
		}
		_ = conn.Close()
		u.home--
	}
}

// send sends one request and reads its answer. It reports whether the channel can be used again.
func (u *uploader) send(conn net.Conn, reader *bufio.Reader, target *daemon, id string, body []byte, isKept bool) bool {
	_ = conn.SetDeadline(time.Now().Add(deadlineTime + time.Second))
	err := writeSlowly(conn, id, body)
	var reply *http.Response
	if err == nil {
		reply, err = http.ReadResponse(reader, nil)
	}
	u.tally.mutex.Lock()
	defer u.tally.mutex.Unlock()
	if err != nil {
		hasRun := u.stage.runs.of(id) > 0
		u.stage.note("  request %s at %s ends without an answer: %s; kept channel: %t, reached a server: %t", id, target.name, err, isKept, hasRun)
		if hasRun && isKept {
			u.tally.lost[target]++
		} else {
			u.tally.others++
		}
		return false
	}
	_, _ = reader.Discard(int(max(0, reply.ContentLength)))
	u.tally.answered[reply.StatusCode]++
	return !reply.Close
}

// writeSlowly writes a request with a large body over some time.
func writeSlowly(conn net.Conn, id string, body []byte) error {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		unsafePath, hostName, id, apiKey, deadlineTime.Milliseconds(), len(body))
	for piece := 0; err == nil && piece < uploadPieces; piece++ {
		from, to := piece*len(body)/uploadPieces, (piece+1)*len(body)/uploadPieces
		_, err = conn.Write(body[from:to])
		time.Sleep(uploadTime / uploadPieces)
	}
	return err
}

// playLargeBodies plays case 5.
func playLargeBodies(s *stage) (bool, error) {
	s.writeConfig(1)
	for i := range 3 {
		if _, err := s.startRunner(runnerOptions{
			id:      fmt.Sprintf("i-%d", i),
			service: plainName,
			options: []string{"--work-ms", strconv.Itoa(int(workTime.Milliseconds()))},
		}); err != nil {
			return false, err
		}
	}
	daemons, err := s.startDaemons(2)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	kills := make([]int, len(daemons))
	most := make([]int64, len(daemons))
	paused := make([]chan struct{}, len(daemons))
	for i, d := range daemons {
		paused[i] = make(chan struct{})
		watchers.Go(func() { kills[i], most[i] = d.limitMemory(paused[i]) })
	}
	balance := &balancer{
		out: map[*daemon]bool{},
	}
	watchers.Go(func() { balance.run(daemons, stop) })
	tally := &uploadTally{
		answered: map[int]int{},
		lost:     map[*daemon]int{},
	}
	for i := range uploadClients {
		u := &uploader{
			stage:   s,
			number:  i,
			home:    i,
			daemons: daemons,
			balance: balance,
			tally:   tally,
		}
		clients.Go(func() { u.run(stop) })
	}
	time.Sleep(quietSeconds * time.Second)
	if s.hasTrouble {
		close(paused[0])
		s.note("%s is killed, it starts again %s later", daemons[0].name, downTime)
		daemons[0].process.signal(syscall.SIGKILL)
		time.Sleep(downTime)
		if err := daemons[0].start(); err != nil {
			return false, err
		}
	}
	time.Sleep(playTime - quietSeconds*time.Second)
	close(stop)
	clients.Wait()
	if !s.hasTrouble {
		close(paused[0])
	}
	close(paused[1])
	watchers.Wait()
	s.note("answers by status: %v; other ends: %d", tally.answered, tally.others)
	judged := daemons
	if s.hasTrouble {
		judged = daemons[1:]
	}
	for i, d := range daemons {
		s.note("%s: %d MB at most, killed for its memory %d times; %d requests of kept channels reached a server and ended with their channel", d.name, most[i]>>20, kills[i], tally.lost[d])
	}
	for _, d := range judged {
		if tally.lost[d] > maxLost {
			s.note("LOST: %s", d.name)
			return true, nil
		}
	}
	return false, nil
}
