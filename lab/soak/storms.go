package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// Parameters of storms of connections.
const (
	// stormConnections is more than clients may have open at one daemon with the descriptors of the
	// stand-in's settings.
	stormConnections = 2300
	// stormDialers is the number of connections that are opened at the same time.
	stormDialers = 32
	// silentEvery is the share of connections that send nothing, as one of this number.
	silentEvery = 3
)

// storm holds the connections of one storm.
type storm struct {
	platform *standin.Platform
	address  string
	key      string

	mutex   sync.Mutex
	conns   []net.Conn
	isEnded bool
}

// stormDaemon opens many connections to a random daemon, as clients do if the load balancer hands
// most of them to it. Some send a request and stay open, others send nothing.
func stormDaemon(s *soak) func() {
	opened := &storm{
		platform: s.platform,
		address:  fmt.Sprintf("127.0.0.1:%d", s.randomDaemon().clientPort),
		key:      s.keys.pick(false),
	}
	for dialer := range stormDialers {
		go func() {
			for i := dialer; i < stormConnections && opened.open(i); i += stormDialers {
			}
		}()
	}
	return opened.end
}

// open opens one connection. It returns false once the storm has ended.
func (o *storm) open(number int) bool {
	conn, err := net.DialTimeout("tcp", o.address, time.Second)
	if err != nil {
		// The daemon is down or refuses the connection.
		time.Sleep(clientInterval)
		return true
	}
	if number%silentEvery != 0 {
		path := standin.PathSafe + "gate"
		o.platform.RecordRequest(path)
		// The daemon may close the connection at any time.
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n\r\n", path, standin.Host, wire.HeaderID, standin.NewRequestID(), wire.HeaderKey, o.key)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.isEnded {
		_ = conn.Close()
		return false
	}
	o.conns = append(o.conns, conn)
	return true
}

// end closes all connections.
func (o *storm) end() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.isEnded = true
	for _, conn := range o.conns {
		_ = conn.Close()
	}
}
