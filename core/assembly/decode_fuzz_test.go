package assembly_test

import (
	"testing"

	"headcourse/core/assembly"
)

// FuzzDecodeRecord looks for rows that decode to records without members, or that crash a
// controller.
func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range []string{
		`{"name":"g","service":"engines","model":"large","members":["a","b"]}`,
		`{"name":"g","members":["a"],"era":3}`,
		`{"name":"g","members":["a"],"era":9223372036854775807}`,
		`{"name":"g","members":["a"],"era":-1}`,
		`{"name":"g","members":["a"],"epoch":-1}`,
		`{"name":"g","members":[]}`,
		`{"name":7}`,
		`null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := assembly.DecodeRecord(value, 7)
		if err != nil {
			return
		}
		if record.Name == "" || len(record.Members) == 0 {
			t.Fatalf("%q decodes to %+v", value, record)
		}
		if record.Epoch <= 0 {
			t.Fatalf("%q decodes to a group of epoch %d", value, record.Epoch)
		}
		s := newSimFleet(1)
		c := &assembly.Controller{}
		c.LoadRecords([]assembly.Record{record})
		s.step(c, false, deliverPromptly)
	})
}

// FuzzDecodeRecent looks for rows that crash a daemon.
func FuzzDecodeRecent(f *testing.F) {
	f.Add([]byte(`{"domain":"d0","models":{"i-001":"large"}}`))
	f.Add([]byte(`{"models":[]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		recent, err := assembly.DecodeRecentModels(value)
		if err != nil {
			return
		}
		newSimFleet(1).observe().WithLastModels(recent.Models)
	})
}
