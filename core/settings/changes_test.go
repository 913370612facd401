package settings_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
)

func TestChangesNamesSettingsThatDiffer(t *testing.T) {
	former := settings.Settings{
		Name:        "front-a",
		StopTimeout: time.Second,
	}
	qt.Assert(t, former.Changes(former), qt.HasLen, 0)
	next := former
	next.IP = "10.0.0.2"
	next.StopTimeout = 2 * time.Second
	next.MemoryBytes = 1
	qt.Assert(t, former.Changes(next), qt.DeepEquals, []string{"ip", "stop_timeout", "memory_bytes"})
}
