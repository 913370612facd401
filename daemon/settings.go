package daemon

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Settings configures a daemon. Each field is set by a flag or an environment
// variable; kong reads their names, defaults and help texts from the tags.
type Settings struct {
	ID            string        `name:"id" env:"HEADCOURSE_ID" help:"Name of this daemon, the first part of its id. Default: the peer address."`
	Zone          string        `name:"zone" env:"HEADCOURSE_ZONE" required:"" help:"Availability zone of this VM."`
	Callers       string        `name:"callers" env:"HEADCOURSE_CALLERS" default:"127.0.0.1:8080" help:"IP:port for callers."`
	Operators     string        `name:"operators" env:"HEADCOURSE_OPERATORS" default:"127.0.0.1:8081" help:"IP:port for operators."`
	Peers         string        `name:"peers" env:"HEADCOURSE_PEERS" default:"127.0.0.1:8082" help:"IP:port for other daemons; they must be able to reach it."`
	Table         string        `name:"table" env:"HEADCOURSE_TABLE" required:"" help:"IP:port of the platform's table service."`
	VMList        string        `name:"vm-list" env:"HEADCOURSE_VM_LIST" required:"" help:"IP:port of the platform's VM list."`
	Seeds         []string      `name:"seeds" env:"HEADCOURSE_SEEDS" help:"IP:port of other daemons' peer addresses, to read from while the store is unavailable."`
	PeerKey       string        `name:"peer-key" env:"HEADCOURSE_PEER_KEY" required:"" help:"Shared secret that authenticates daemons to each other; prefer the variable."`
	BootstrapHash string        `name:"bootstrap-hash" env:"HEADCOURSE_BOOTSTRAP_HASH" help:"SHA-256 hash of the key of an operator who may apply the first declaration."`
	DrainTime     time.Duration `name:"drain-time" env:"HEADCOURSE_DRAIN_TIME" default:"2m" help:"Maximum time that a stopping daemon waits for answers in flight."`
	UnreadyTime   time.Duration `name:"unready-time" env:"HEADCOURSE_UNREADY_TIME" default:"3s" help:"How long a stopping daemon accepts requests after it has reported unready to the load balancer."`
	IdleTime      time.Duration `name:"idle-time" env:"HEADCOURSE_IDLE_TIME" default:"30s" help:"Maximum time without data from a backend server within one answer."`
	LogLevel      string        `name:"log-level" env:"HEADCOURSE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Minimum log level: ${enum}."`
}

// minPeerKeyLength is the minimum length of a peer key in bytes.
const minPeerKeyLength = 16

// Check returns an error for the first invalid setting, which names its flag and
// environment variable.
func (s Settings) Check() error {
	checker := &settingsChecker{}
	checker.checkAddress("--callers", "HEADCOURSE_CALLERS", s.Callers)
	checker.checkAddress("--operators", "HEADCOURSE_OPERATORS", s.Operators)
	checker.checkAddress("--peers", "HEADCOURSE_PEERS", s.Peers)
	checker.checkAddress("--table", "HEADCOURSE_TABLE", s.Table)
	checker.checkAddress("--vm-list", "HEADCOURSE_VM_LIST", s.VMList)
	for _, seedAddress := range s.Seeds {
		checker.checkAddress("--seeds", "HEADCOURSE_SEEDS", seedAddress)
	}
	if len(s.PeerKey) < minPeerKeyLength {
		checker.record("--peer-key", "HEADCOURSE_PEER_KEY", errors.Errorf("must have at least %d characters", minPeerKeyLength))
	}
	if s.Zone == "" {
		checker.record("--zone", "HEADCOURSE_ZONE", errors.New("must be set"))
	}
	checker.checkDuration("--drain-time", "HEADCOURSE_DRAIN_TIME", s.DrainTime)
	checker.checkDuration("--unready-time", "HEADCOURSE_UNREADY_TIME", s.UnreadyTime)
	checker.checkDuration("--idle-time", "HEADCOURSE_IDLE_TIME", s.IdleTime)
	return checker.firstError
}

// settingsChecker holds the error of the first invalid setting.
type settingsChecker struct {
	firstError error
}

// record stores the error of a setting unless an earlier one is stored.
func (c *settingsChecker) record(flag, variable string, err error) {
	if c.firstError == nil && err != nil {
		c.firstError = errors.Wrapf(err, "%s (%s)", flag, variable)
	}
}

// checkAddress checks a setting of the form IP:port.
func (c *settingsChecker) checkAddress(flag, variable, value string) {
	c.record(flag, variable, validateAddress(value))
}

// checkDuration checks that a setting is a duration above 0.
func (c *settingsChecker) checkDuration(flag, variable string, value time.Duration) {
	if value <= 0 {
		c.record(flag, variable, errors.Errorf("must be above 0, not %s", value))
	}
}

// validateAddress checks that an address is an IP literal with a port. Host names
// are refused.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("%q is not IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%q: %q is not an IP number; host names are not looked up", address, host)
	}
	if portNumber, err := strconv.Atoi(port); err != nil || portNumber < 0 || portNumber > 65535 {
		return errors.Errorf("%q: %q is not a port", address, port)
	}
	return nil
}
