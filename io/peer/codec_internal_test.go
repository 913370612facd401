package peer //nolint:testpackage // fuzzes the unexported codec

import (
	"testing"
	"time"
)

// FuzzUnpack checks that no data of a peer makes a daemon panic, or yields an observation
// that is more recent than the request.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte{1, 2, 3, 1, 0, 0}, []byte{1, 5, 9})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, []byte{})
	names := map[int]string{
		1: "g/redactor-1",
		2: "",
	}
	f.Fuzz(func(t *testing.T, evidence, reports []byte) {
		requestedAt := time.Now()
		observed, _ := decodeEvidence(evidence, names, requestedAt)
		for _, item := range observed {
			if item.ObservedAt.After(requestedAt) || item.Slots < 0 || item.InFlight < 0 {
				t.Fatalf("decoded %+v", item)
			}
		}
		decoded, _ := decodeReports(reports, names, requestedAt)
		for _, item := range decoded {
			if item.ObservedAt.After(requestedAt) {
				t.Fatalf("decoded %+v", item)
			}
		}
	})
}
