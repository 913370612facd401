package neighbours_test

import (
	"testing"

	"headcourse/core/neighbours"
)

// FuzzDecode searches for rows that Decode accepts with invalid values.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"zone":"a","address":"10.0.0.1:80","strength":1}`,
		`{"address":"10.0.0.1:80","strength":-1}`,
		`{"address":7}`,
		`null`,
	} {
		f.Add("front-a", []byte(seed))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		daemon, err := neighbours.Decode(name, value)
		if err != nil {
			return
		}
		if daemon.Name == "" || daemon.Address == "" || daemon.Capacity < 0 {
			t.Fatalf("Decode accepts %q as %+v", value, daemon)
		}
		list := neighbours.NewList([]neighbours.Daemon{daemon})
		list.RelaysFor(name, "a")
		list.Position(name)
	})
}
