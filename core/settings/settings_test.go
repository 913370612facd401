package settings_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
)

// validSettings returns settings that pass Check.
func validSettings() settings.Settings {
	return settings.Settings{
		Name:             "front-a",
		IP:               "10.2.3.4",
		ClientAddress:    "10.2.3.4:8080",
		ReadinessAddress: "10.2.3.4:8081",
		RelayAddress:     "10.2.3.4:9000",
		TunnelAddress:    "10.2.3.4:9001",
		StoreAddress:     "[fd00::7]:7000",
		StopTimeout:      4 * time.Second,
		ApplyBound:       2 * time.Second,
		RevocationBound:  5 * time.Second,
		RetryWindow:      10 * time.Second,
		DrainBound:       2 * time.Second,
	}
}

func TestValidSettingsPassCheck(t *testing.T) {
	qt.Assert(t, validSettings().Check(), qt.IsNil)
}

func TestCheckNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		name       string
		invalidate func(s *settings.Settings)
	}{
		{
			name:       "the VM's name",
			invalidate: func(s *settings.Settings) { s.Name = "" },
		},
		{
			name:       "address for clients",
			invalidate: func(s *settings.Settings) { s.ClientAddress = "" },
		},
		{
			name:       "address for readiness",
			invalidate: func(s *settings.Settings) { s.ReadinessAddress = "10.2.3.4" },
		},
		{
			name:       "address for other daemons",
			invalidate: func(s *settings.Settings) { s.RelayAddress = "front-a:9000" },
		},
		{
			name:       "address of the store",
			invalidate: func(s *settings.Settings) { s.StoreAddress = ":7000" },
		},
		{
			name:       "time to stop",
			invalidate: func(s *settings.Settings) { s.StopTimeout = 0 },
		},
		{
			name:       "time to apply configurations",
			invalidate: func(s *settings.Settings) { s.ApplyBound = 0 },
		},
		{
			name:       "time to withdraw keys",
			invalidate: func(s *settings.Settings) { s.RevocationBound = -time.Second },
		},
		{
			name:       "window of the bound on retries",
			invalidate: func(s *settings.Settings) { s.RetryWindow = 0 },
		},
		{
			name:       "time to drain",
			invalidate: func(s *settings.Settings) { s.DrainBound = 0 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			invalid := validSettings()
			c.invalidate(&invalid)
			qt.Assert(t, invalid.Check(), qt.ErrorMatches, "check settings: "+c.name+".*")
		})
	}
}

func TestWithMetricsPortUsesAddressOfVM(t *testing.T) {
	original := validSettings()
	served := original.WithMetricsPort(9100)
	qt.Assert(t, served.MetricsAddress, qt.Equals, "10.2.3.4:9100")
	qt.Assert(t, original.MetricsAddress, qt.Equals, "")
	qt.Assert(t, served.WithMetricsPort(0).MetricsAddress, qt.Equals, "")
}
