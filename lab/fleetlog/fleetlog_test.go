package fleetlog_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/fleetlog"
)

// logs are the lines of two daemons, one of which starts twice.
const logs = `a line of something else
  -3.0 front-a {"msg":"daemon: started"}
  -2.9 front-b {"msg":"daemon: started"}
  -2.8 front-a {"msg":"daemons: relays chosen","is_relay":true}
  -2.0 front-a {"msg":"daemon: readiness changed","is_ready":true}
  -1.0 front-b {"msg":"daemon: readiness changed","is_ready":true}
   0.5 front-a {"msg":"configuration: taken","config_version":7}
   0.7 front-b {"msg":"configuration: taken","config_version":7}
   1.0 front-a {"msg":"daemon: figures","counters":{"store_calls.feed.op":4,"requests_done.":2}}
   2.0 front-a {"msg":"daemon: figures","counters":{"store_calls.feed.op":9}}
   2.0 front-b {"msg":"daemon: figures","counters":{"store_calls.get.daemons":1}}
   3.0 front-b {"msg":"daemon: started"}
   3.2 front-b {"msg":"daemon: readiness changed","is_ready":false}
   3.4 front-b {"msg":"daemon: readiness changed","is_ready":true}
   9.0 front-b {"msg":"daemon: figures","counters":{"store_calls.get.daemons":2}}
   9.1 front-b no JSON
`

func TestReadSummarisesCallsAndTimes(t *testing.T) {
	summary, err := fleetlog.Read(strings.NewReader(logs))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, summary.Calls, qt.DeepEquals, []fleetlog.Calls{
		{
			Start:   1,
			Role:    fleetlog.Relay,
			Call:    "feed.op",
			Daemons: 1,
			Count:   9,
		},
		{
			Start:   1,
			Role:    fleetlog.Traffic,
			Call:    "get.daemons",
			Daemons: 1,
			Count:   1,
		},
		{
			Start:   2,
			Role:    fleetlog.Traffic,
			Call:    "get.daemons",
			Daemons: 1,
			Count:   2,
		},
	})
	qt.Assert(t, summary.Configurations, qt.DeepEquals, map[int64]fleetlog.Spread{
		7: {
			Daemons: 2,
			First:   0.5,
			Median:  0.7,
			Last:    0.7,
		},
	})
	qt.Assert(t, summary.Ready[1].Last, qt.Equals, -1.0)
	qt.Assert(t, summary.Ready[2].First, qt.Equals, 3.4)
}

func TestReadOfEmptyLogReturnsNoCalls(t *testing.T) {
	summary, err := fleetlog.Read(strings.NewReader(""))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, summary.Calls, qt.HasLen, 0)
}
