// Package settings holds the settings of a daemon on an entry VM: its addresses
// and the time and rate limits that it must meet.
package settings

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Settings are the settings of one daemon. Check validates them.
type Settings struct {
	// Name is the name of the VM, which does not change with a restart.
	Name string
	IP   string
	Zone string
	// ClientAddress and ReadinessAddress are the IP:port to listen on for clients and for
	// readiness checks; StoreAddress is that of the platform's table store.
	ClientAddress    string
	ReadinessAddress string
	StoreAddress     string
	// RelayAddress is the IP:port at which other daemons can watch the store's tables.
	RelayAddress string
	// TunnelAddress is the IP:port at which other daemons can open tunnels to backend servers.
	TunnelAddress string
	// RelativeCapacity is the capacity of the VM relative to others.
	RelativeCapacity float64
	// MetricsAddress is the IP:port at which metrics are served; empty: not served.
	MetricsAddress string
	// IsFirstStart is set if the whole system is started for the first time.
	IsFirstStart bool
	// StopTimeout passes between SIGTERM and SIGKILL.
	StopTimeout time.Duration
	// ApplyBound is the time within which a new configuration must be in force.
	ApplyBound time.Duration
	// RevocationBound is the time within which all daemons must reject a revoked key.
	RevocationBound time.Duration
	// IsRevocationStrict is set if this also holds for daemons that cannot learn of
	// the revocation.
	IsRevocationStrict bool
	// DrainBound is the time within which a draining server must get no new requests.
	DrainBound time.Duration
	// HeartbeatInterval is the heartbeat interval of the servers.
	HeartbeatInterval time.Duration
	// StallTimeout is how long a group that lost a member stalls before it breaks.
	StallTimeout time.Duration
	// In any RetryWindow, all daemons together may retry RetryRatio of the requests
	// and RetryBurst more.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// LoadWindow and LoadExcess limit how many loads of weights may begin.
	LoadWindow time.Duration
	LoadExcess float64
	// In any second, a cold server may get ColdExcess times the requests that it can serve and
	// ColdExtraRequests more, from all daemons together. With 0 for both it gets no more than it
	// can serve.
	ColdExcess        float64
	ColdExtraRequests float64
	// EvacuationBound is the time within which an evacuated zone must get no more requests;
	// 0: at once.
	EvacuationBound time.Duration
	// MaxDescriptors is how many descriptors the process may open, and MemoryBytes how much memory
	// it may use; 0: unknown.
	MaxDescriptors int
	MemoryBytes    int64
}

// WithMetricsPort returns the settings with metrics served at a port of the VM's IP
// address; 0: not served.
func (s Settings) WithMetricsPort(port int) Settings {
	s.MetricsAddress = ""
	if port != 0 {
		s.MetricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(port))
	}
	return s
}

// Check returns an error that names the first invalid setting, or nil.
func (s Settings) Check() error {
	if s.Name == "" {
		return errors.New("check settings: the VM's name is missing")
	}
	addresses := []struct {
		name  string
		value string
	}{
		{
			name:  "address for clients",
			value: s.ClientAddress,
		},
		{
			name:  "address for readiness",
			value: s.ReadinessAddress,
		},
		{
			name:  "address for other daemons",
			value: s.RelayAddress,
		},
		{
			name:  "address for tunnels",
			value: s.TunnelAddress,
		},
		{
			name:  "address of the store",
			value: s.StoreAddress,
		},
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address.value)
		if err != nil || net.ParseIP(host) == nil {
			return errors.Errorf("check settings: %s: %q is not IP:port", address.name, address.value)
		}
	}
	times := []struct {
		name  string
		value time.Duration
	}{
		{
			name:  "time to stop",
			value: s.StopTimeout,
		},
		{
			name:  "time to apply configurations",
			value: s.ApplyBound,
		},
		{
			name:  "time to withdraw keys",
			value: s.RevocationBound,
		},
		{
			name:  "window of the bound on retries",
			value: s.RetryWindow,
		},
		{
			name:  "time to drain",
			value: s.DrainBound,
		},
	}
	for _, bound := range times {
		if bound.value <= 0 {
			return errors.Errorf("check settings: %s must be above 0, not %s", bound.name, bound.value)
		}
	}
	return nil
}
