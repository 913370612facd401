package peer //nolint:testpackage // fuzzes the unexported codec

import (
	"testing"
	"time"
)

// FuzzUnpack checks that nothing a peer sends makes a daemon panic, or believe
// that something was observed after it asked.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte{1, 2, 3, 1, 0, 0}, []byte{1, 5, 9})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, []byte{})
	names := map[int]string{
		1: "g/redactor-1",
		2: "",
	}
	f.Fuzz(func(t *testing.T, evidence, reports []byte) {
		asked := time.Now()
		found, _ := unpackEvidence(evidence, names, asked)
		for _, one := range found {
			if one.At.After(asked) || one.Slots < 0 || one.InFlight < 0 {
				t.Fatalf("unpacked %+v", one)
			}
		}
		told, _ := unpackReports(reports, names, asked)
		for _, one := range told {
			if one.At.After(asked) {
				t.Fatalf("unpacked %+v", one)
			}
		}
	})
}
