package tunnel

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/reach"
	"headcourse/io/logline"
	"headcourse/io/tcp"
)

const (
	// maxTunnels bounds the open tunnels of a peer. Each one takes two descriptors and at most 30 KB.
	maxTunnels = 512
	// maxOpening bounds the connections whose tunnel is not open yet.
	maxOpening = 256
	// connectTimeout bounds connecting to a server: links take milliseconds. It leaves the caller time
	// to ask another peer.
	connectTimeout = 100 * time.Millisecond
	// A caller is gone if it has answered none of keepAliveCount probes, the first of which is sent after
	// keepAliveIdleTime. Its VM may stand still for seconds.
	keepAliveIdleTime = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 5
	// refusedLogInterval is the minimum interval between log lines about tunnels that were not opened,
	// for each result.
	refusedLogInterval = time.Second
)

// countServed is the prefix of the counters of tunnels that other daemons requested, completed by the
// result.
const countServed = "tunnels_requested."

// Server opens tunnels for other daemons. Create it with Listen.
type Server struct {
	options    Options
	listener   net.Listener
	opening    atomic.Int64
	active     atomic.Int64
	isDraining atomic.Bool
	throttle   logline.Throttle

	mutex sync.Mutex
	// conns are all connections of callers; nil once the server is closed.
	conns map[net.Conn]struct{}
}

// Options configure a Server.
type Options struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// Direct connects to servers.
	Direct tcp.Dialer
	// Paths is what this daemon knows of its own paths.
	Paths *reach.Paths
	Fleet Fleet
	// IsDaemon reports whether an IP address is that of a listed daemon.
	IsDaemon func(ip string) bool
	Registry metrics.Registry
	Log      *zap.Logger
}

// Listen starts a Server.
func Listen(options Options) (*Server, error) {
	listener, err := tcp.Listen(options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for tunnels of daemons on %s", options.Address)
	}
	server := &Server{
		options:  options,
		listener: listener,
		conns:    map[net.Conn]struct{}{},
	}
	server.throttle.Interval = refusedLogInterval
	go server.accept()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Active returns the number of open tunnels.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// Drain makes the server open no more tunnels. Those that are open continue.
func (s *Server) Drain() {
	s.isDraining.Store(true)
}

// Close closes the listener and all tunnels.
func (s *Server) Close() {
	s.isDraining.Store(true)
	// The only error means that the listener is closed already.
	_ = s.listener.Close()
	s.mutex.Lock()
	conns := s.conns
	s.conns = nil
	s.mutex.Unlock()
	for conn := range conns {
		reset(conn)
	}
}

// accept accepts connections until the listener is closed or fails.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			if !s.isDraining.Load() {
				s.options.Log.Error("tunnels: no further connections are accepted", logline.ErrorField(err))
			}
			return
		}
		if !s.track(raw) || s.opening.Load() >= maxOpening {
			s.forget(raw)
			reset(raw)
			continue
		}
		s.opening.Add(1)
		go s.serve(raw)
	}
}

// track adds a connection to those that Close closes. It reports false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// forget removes a connection from those that Close closes.
func (s *Server) forget(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// serve opens one tunnel and copies its bytes until it ends.
func (s *Server) serve(caller net.Conn) {
	defer s.forget(caller)
	backend, reader, opened := s.open(caller)
	s.opening.Add(-1)
	metrics.GetOrRegisterCounter(countServed+string(opened), s.options.Registry).Inc(1)
	if backend == nil {
		s.logRefused(caller, opened)
		_ = caller.Close()
		return
	}
	defer s.active.Add(-1)
	copyBothWays(caller, reader, backend)
}

// logRefused logs a tunnel that was not opened.
func (s *Server) logRefused(caller net.Conn, reason result) {
	mayWrite, suppressed := s.throttle.Allow(string(reason))
	if !mayWrite {
		return
	}
	s.options.Log.Info("tunnels: not opened",
		zap.String("caller", caller.RemoteAddr().String()),
		zap.String("result", string(reason)),
		zap.Int64("open", s.active.Load()),
		zap.Int("lines_left_out", suppressed))
}

// open reads the opening of a tunnel, connects to the server and answers. The connection to the server
// is nil unless the result is resultConnected.
func (s *Server) open(caller net.Conn) (net.Conn, *bufio.Reader, result) {
	if !s.isFromDaemon(caller) {
		return nil, nil, answerTo(caller, resultForbidden)
	}
	if err := prepare(caller); err != nil {
		return nil, nil, resultBadRequest
	}
	reader := bufio.NewReaderSize(caller, maxLineBytes)
	var request openRequest
	if err := readLine(reader, &request); err != nil {
		return nil, nil, answerTo(caller, resultBadRequest)
	}
	backend, opened := s.connect(request)
	if answerTo(caller, opened) == resultConnected {
		s.active.Add(1)
		return backend, reader, resultConnected
	}
	if backend != nil {
		_ = backend.Close()
	}
	return nil, nil, opened
}

// isFromDaemon reports whether a connection comes from a listed daemon.
func (s *Server) isFromDaemon(caller net.Conn) bool {
	host, _, err := net.SplitHostPort(caller.RemoteAddr().String())
	return err == nil && s.options.IsDaemon(host)
}

// connect connects to the server of a request.
func (s *Server) connect(request openRequest) (net.Conn, result) {
	service, isKnown := s.options.Fleet.ServiceOf(request.Address)
	switch {
	case s.isDraining.Load():
		return nil, resultDraining
	case !isKnown:
		return nil, resultUnknownServer
	case s.active.Load() >= maxTunnels:
		return nil, resultBusy
	case !s.options.Paths.Plan(service, request.Address).UsesDirect:
		// An isolated daemon looks for the end of its isolation now and then, also for others.
		return nil, resultNoLinks
	}
	backend, err := s.dial(service, request.Address, min(connectTimeout, time.Duration(request.TimeoutMS)*time.Millisecond))
	var failed *tcp.DialError
	switch {
	case err == nil:
		s.options.Paths.Record(service, request.Address, reach.Connected, reach.NoEvidence)
		return backend, resultConnected
	case !errors.As(err, &failed) || !failed.Confirmed:
		return nil, resultNoLinks
	case failed.Refused:
		return nil, resultRefused
	default:
		return nil, resultUnreachable
	}
}

// dial connects to a server directly. The error is a *tcp.DialError, confirmed if this daemon connects to other servers.
// The comparison with these begins before a slow connect times out, so that the caller has time to ask another peer.
func (s *Server) dial(service, address string, timeout time.Duration) (net.Conn, error) {
	dialer := patientDialer{
		Dialer: s.options.Direct,
	}
	compared := make(chan comparison, 1)
	runComparison := func() {
		compared <- compare(dialer, address, s.options.Fleet.ControlServers(service, address))
	}
	timer := time.AfterFunc(connectTimeout-controlTimeout, runComparison)
	backend, err := dialer.Dial(address, timeout)
	isCompared := !timer.Stop()
	if err == nil {
		if isCompared {
			go func() { (<-compared).close() }()
		}
		return backend, nil
	}
	if !isCompared {
		runComparison()
	}
	result := <-compared
	if result.err == nil {
		return result.conn, nil
	}
	return nil, &tcp.DialError{
		Refused:   tcp.IsRefused(result.err),
		Confirmed: result.hasWorkingLinks,
		Cause:     result.err,
	}
}

// patientDialer opens connections whose server may be silent for as long as the caller lets it.
type patientDialer struct {
	tcp.Dialer
}

// Dial connects to a server.
func (p patientDialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := p.Dialer.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	if err = tcp.LimitUnacked(conn, 0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// prepare sets the socket options of a caller's connection: a caller that is gone must not hold a tunnel. One that does
// not read, since its client does not, is not gone.
func prepare(caller net.Conn) error {
	socket, ok := caller.(*net.TCPConn)
	if !ok {
		return errors.New("prepare tunnel: the connection is no TCP connection")
	}
	err := socket.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdleTime,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
	if err != nil {
		return errors.Wrap(err, "set keep-alive of tunnel")
	}
	return errors.Wrap(socket.SetDeadline(time.Now().Add(lineTimeout)), "set deadline of tunnel")
}

// answerTo answers the opening of a tunnel. It returns the result, or resultBadRequest if the answer
// cannot be written.
func answerTo(caller net.Conn, answer result) result {
	line, err := encodeLine(openAnswer{
		Result: answer,
	})
	if err != nil {
		return resultBadRequest
	}
	if _, err = caller.Write(line); err != nil {
		return resultBadRequest
	}
	if err = caller.SetDeadline(time.Time{}); err != nil {
		return resultBadRequest
	}
	return answer
}
