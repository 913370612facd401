// Package settings holds what one daemon on an entry VM is told by its
// surroundings: its addresses and the bounds that it must keep.
package settings

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Settings are the settings of one daemon, checked by Check.
type Settings struct {
	// Name is the VM's name, the same after a restart.
	Name string
	IP   string
	Zone string
	// Clients and Readiness are the IP:port to listen on; Store is the
	// platform's table store.
	Clients   string
	Readiness string
	Store     string
	// Relay is where other daemons may follow the store's tables.
	Relay string
	// Strength is how much the VM can carry, compared to others.
	Strength float64
	// Metrics is where metrics are served; empty: nowhere.
	Metrics string
	// IsFirstStart tells that the whole system is started for the first time.
	IsFirstStart bool
	// StopTime passes between SIGTERM and SIGKILL.
	StopTime time.Duration
	// ApplyWithin is when a new configuration must be in force.
	ApplyWithin time.Duration
	// RevokeWithin is when a withdrawn key must be dead everywhere.
	RevokeWithin time.Duration
	// IsRevocationStrict tells that it must be so also where a daemon cannot hear of
	// the withdrawal.
	IsRevocationStrict bool
	// DrainWithin is when a leaving server must get no new requests.
	DrainWithin time.Duration
	// HeartbeatInterval is the time between two heartbeats of a server.
	HeartbeatInterval time.Duration
	// StallTime is how long a group without one of its members stands still
	// before it breaks.
	StallTime time.Duration
	// RetryShare of the requests plus RetryBurst may be sent again in any
	// RetryWindow, over all daemons.
	RetryShare  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// LoadWindow and LoadExcess bound the loads of weights that may begin.
	LoadWindow time.Duration
	LoadExcess float64
	// A cold server may get, in any second, ColdExcess times the requests that it bears and
	// ColdSlack more, from all daemons; 0: as many as it bears.
	ColdExcess float64
	ColdSlack  float64
	// EvacuateWithin is when an evacuated zone must get no more requests; 0: at once.
	EvacuateWithin time.Duration
}

// WithMetricsPort returns the settings with metrics served on a port of the VM's
// address; 0: not served.
func (s Settings) WithMetricsPort(port int) Settings {
	s.Metrics = ""
	if port != 0 {
		s.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(port))
	}
	return s
}

// Check returns the first setting that cannot be used, by its name.
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
			value: s.Clients,
		},
		{
			name:  "address for readiness",
			value: s.Readiness,
		},
		{
			name:  "address for other daemons",
			value: s.Relay,
		},
		{
			name:  "address of the store",
			value: s.Store,
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
			value: s.StopTime,
		},
		{
			name:  "time to apply configurations",
			value: s.ApplyWithin,
		},
		{
			name:  "time to withdraw keys",
			value: s.RevokeWithin,
		},
		{
			name:  "window of the bound on retries",
			value: s.RetryWindow,
		},
		{
			name:  "time to drain",
			value: s.DrainWithin,
		},
	}
	for _, one := range times {
		if one.value <= 0 {
			return errors.Errorf("check settings: %s must be above 0, not %s", one.name, one.value)
		}
	}
	return nil
}
