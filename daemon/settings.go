package daemon

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Settings are the settings of a daemon. Each is a flag and an environment
// variable; the tags are read by the command line.
type Settings struct {
	ID            string        `name:"id" env:"HEADCOURSE_ID" help:"Name of this daemon, the start of its id. Default: the peer address."`
	Zone          string        `name:"zone" env:"HEADCOURSE_ZONE" required:"" help:"Availability zone of this VM."`
	Callers       string        `name:"callers" env:"HEADCOURSE_CALLERS" default:"127.0.0.1:8080" help:"IP:port for callers."`
	Operators     string        `name:"operators" env:"HEADCOURSE_OPERATORS" default:"127.0.0.1:8081" help:"IP:port for operators."`
	Peers         string        `name:"peers" env:"HEADCOURSE_PEERS" default:"127.0.0.1:8082" help:"IP:port for other daemons; they must be able to reach it."`
	Table         string        `name:"table" env:"HEADCOURSE_TABLE" required:"" help:"IP:port of the platform's table service."`
	VMList        string        `name:"vm-list" env:"HEADCOURSE_VM_LIST" required:"" help:"IP:port of the platform's VM list."`
	Seeds         []string      `name:"seeds" env:"HEADCOURSE_SEEDS" help:"IP:port of other daemons' peer addresses, to learn from while the store is down."`
	PeerKey       string        `name:"peer-key" env:"HEADCOURSE_PEER_KEY" required:"" help:"Secret that daemons know each other by; prefer the variable."`
	BootstrapHash string        `name:"bootstrap-hash" env:"HEADCOURSE_BOOTSTRAP_HASH" help:"SHA-256 hash of the key of an operator who may apply the first declaration."`
	DrainTime     time.Duration `name:"drain-time" env:"HEADCOURSE_DRAIN_TIME" default:"2m" help:"Longest time that a stopping daemon waits for answers in flight."`
	UnreadyTime   time.Duration `name:"unready-time" env:"HEADCOURSE_UNREADY_TIME" default:"3s" help:"How long a stopping daemon still takes requests after it told the balancer."`
	IdleTime      time.Duration `name:"idle-time" env:"HEADCOURSE_IDLE_TIME" default:"30s" help:"Longest silence of a backend server within one answer."`
	LogLevel      string        `name:"log-level" env:"HEADCOURSE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Least level that is logged: ${enum}."`
}

// minPeerKey is the least length of a peer key.
const minPeerKey = 16

// Check returns the first setting that cannot be used, with its flag and
// variable.
func (s Settings) Check() error {
	check := &checker{}
	check.address("--callers", "HEADCOURSE_CALLERS", s.Callers)
	check.address("--operators", "HEADCOURSE_OPERATORS", s.Operators)
	check.address("--peers", "HEADCOURSE_PEERS", s.Peers)
	check.address("--table", "HEADCOURSE_TABLE", s.Table)
	check.address("--vm-list", "HEADCOURSE_VM_LIST", s.VMList)
	for _, seed := range s.Seeds {
		check.address("--seeds", "HEADCOURSE_SEEDS", seed)
	}
	if len(s.PeerKey) < minPeerKey {
		check.say("--peer-key", "HEADCOURSE_PEER_KEY", errors.Errorf("must have at least %d characters", minPeerKey))
	}
	if s.Zone == "" {
		check.say("--zone", "HEADCOURSE_ZONE", errors.New("must be set"))
	}
	check.duration("--drain-time", "HEADCOURSE_DRAIN_TIME", s.DrainTime)
	check.duration("--unready-time", "HEADCOURSE_UNREADY_TIME", s.UnreadyTime)
	check.duration("--idle-time", "HEADCOURSE_IDLE_TIME", s.IdleTime)
	return check.first
}

// checker keeps the first mistake.
type checker struct {
	first error
}

// say notes a mistake in a setting.
func (c *checker) say(flag, variable string, mistake error) {
	if c.first == nil && mistake != nil {
		c.first = errors.Wrapf(mistake, "%s (%s)", flag, variable)
	}
}

// address checks a setting that is IP:port.
func (c *checker) address(flag, variable, value string) {
	c.say(flag, variable, checkAddress(value))
}

// duration checks a setting that is a time above 0.
func (c *checker) duration(flag, variable string, value time.Duration) {
	if value <= 0 {
		c.say(flag, variable, errors.Errorf("must be above 0, not %s", value))
	}
}

// checkAddress checks that an address is an IP literal with a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("%q is not IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%q: %q is not an IP number; host names are not looked up", address, host)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
		return errors.Errorf("%q: %q is not a port", address, port)
	}
	return nil
}
