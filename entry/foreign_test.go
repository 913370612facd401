package entry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/leader"
	"headcourse/core/neighbours"
	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// strangeValues are what other writers may leave in a row.
var strangeValues = []string{
	"\x00\xff\xfe",
	"null",
	"[]",
	"{}",
	`"text"`,
	`{"Service":7,"Address":{},"State":[],"Capacity":"many","born":1.5}`,
	`{"Service":"board","Address":"127.0.0.1:9","State":"resting","Capacity":6}`,
	`{"Service":"board","State":"ready"}`,
	`{"Service":"board","Address":"nowhere","State":"ready","Capacity":6}`,
	`{"Name":"","Members":null,"name":7,"members":[[]],"holder":[],"epoch":"x","models":[],"address":9}`,
}

// Rows that others write into the tables that daemons read hid the rest of a page, filled the
// logs, were used as servers or kept the lease from being taken.
func TestRowsOfOtherWritersHarmNothing(t *testing.T) {
	s := newSite(t, 3)
	const many = 40
	for i := range many {
		for n, value := range strangeValues {
			for _, table := range []string{wire.TableServers, wire.TableConfig, neighbours.Table, "told", assembly.Table, assembly.RecentTable} {
				s.platform.Store.Write(table, fmt.Sprintf("strange-%d-%d", n, i), []byte(value))
			}
			s.platform.Store.Write("told", fmt.Sprintf("end/strange-%d-%d", n, i), []byte(value))
			s.platform.Store.Write("told", fmt.Sprintf("limit/strange-%d-%d", n, i), []byte(value))
			s.platform.Store.Write("told", fmt.Sprintf("trial/strange-%d-%d", n, i), []byte(value))
		}
	}
	s.platform.Store.Write(leader.Table, "lease", []byte(strangeValues[0]))

	// A daemon that starts reads them all; those that run follow what comes after them.
	s.daemons = append(s.daemons, s.startDaemon("front-d"))
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[1].APIKeys = []string{"new-key"}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, "new-key"))
		}, isWhole)
		for range 10 {
			answer := get(s.client(i, standin.KeyOne))
			qt.Assert(t, isWhole(answer), qt.IsTrue, qt.Commentf("%+v", answer))
		}
	}
	qt.Assert(t, len(s.lines("store: row not taken")) < many, qt.IsTrue)

	// Groups are still led: one that loses a member forms again.
	heads := s.platform.Heads(standin.ModelSmall)
	s.platform.Members(heads[0])[1].Kill()
	s.awaitTrue(func() bool {
		return len(s.platform.Heads(standin.ModelSmall)) == len(heads)
	})
}

// An entry that was good and turned bad stayed in force as it had been.
func TestServerWhoseEntryTurnsBadGetsNothingNew(t *testing.T) {
	s := newSite(t, 1)
	servers := s.platform.Servers(standin.ServicePlain)
	s.platform.Store.Write(wire.TableServers, servers[1].ID(), []byte(`{"Service":"board"}`))
	s.platform.Store.Write(wire.TableServers, servers[2].ID(), []byte("\x00\xff"))
	isFromFirst := func(answer standin.Answer) bool {
		return isWhole(answer) && answer.Seal == "seal."+servers[0].ID()+"."+answer.ID
	}
	const inARow = 12
	count := 0
	s.awaitTrue(func() bool {
		if isFromFirst(get(s.client(0, standin.KeyOne))) {
			count++
		} else {
			count = 0
		}
		return count == inARow
	})
	for range inARow {
		qt.Assert(t, isFromFirst(get(s.client(0, standin.KeyOne))), qt.IsTrue)
	}
}
