package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/leader"
	"headcourse/core/neighbours"
	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// invalidValues are values that other writers may leave in a row.
var invalidValues = []string{
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
	strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth),
	strings.Repeat(`{"a":`, nestingDepth) + "1" + strings.Repeat("}", nestingDepth),
	`{"Service":"board","Address":"127.0.0.1:9","State":"ready","Capacity":6,"Domain":` + strings.Repeat("[", nestingDepth),
	`{"Service":"board","Address":"127.0.0.1:9","State":"ready","Capacity":9223372036854775808}`,
	`{"Service":"board","Address":"127.0.0.1:9","State":"ready","Capacity":1e400}`,
	`{"Service":"board","Address":"127.0.0.1:70000","State":"ready","Capacity":6}`,
	`{"Service":"board","Address":"127.0.0.1:-1","State":"ready","Capacity":6}`,
	`{"Service":"board","Address":"127.0.0.1:0","State":"ready","Capacity":6}`,
}

// nestingDepth is deeper than any decoder follows.
const nestingDepth = 11_000

// extremeEntries are entries of servers whose values are at the ends of their ranges. Nothing listens at their addresses.
var extremeEntries = []string{
	`{"Service":"board","Address":"127.0.0.1:9","State":"ready","Capacity":9223372036854775807,"born":9223372036854775807}`,
	`{"Service":"board","Address":"127.0.0.1:9","State":"ready","Capacity":9223372036854775807,"ColdLeftMs":1e308}`,
	`{"Service":"board","Address":"[::ffff:127.0.0.1]:65535","State":"ready","Capacity":4611686018427387904,"Zone":"` + strings.Repeat("z", 100_000) + `"}`,
	`{"Service":"engines","Address":"127.0.0.1:9","State":"ready","Capacity":9223372036854775807,"Phase":"both","Domain":"r","Models":[{"Name":"large"}],` +
		`"group":{"Name":"g","Epoch":9223372036854775807,"Rank":9223372036854775807,"State":"open","Model":"large"}}`,
	`{"Service":"engines","Address":"127.0.0.1:9","State":"ready","Capacity":1,"Phase":"both","Domain":"rack-0","Staged":["large"],` +
		`"group":{"Name":"large-0","Epoch":9223372036854775807,"Rank":0,"State":"open","Model":"large"}}`,
}

// Guards against entries with extreme values that end every daemon which reads the list, or the work of the leader.
func TestExtremeEntriesOfServersDoNotStopDaemons(t *testing.T) {
	s := newSite(t, 2)
	const rowsPerEntry = 4
	for i := range rowsPerEntry {
		for n, entry := range extremeEntries {
			s.standin.Store.Write(wire.TableServers, fmt.Sprintf("i-extreme-%d-%d", n, i), []byte(entry))
		}
	}
	s.daemons = append(s.daemons, s.startDaemon("front-c"))
	for i := range s.daemons {
		client := s.client(i, standin.KeyCuenca)
		s.await(func() standin.Answer { return get(client) }, isSuccess)
		s.await(func() standin.Answer {
			return client.Stream(context.Background(), standin.ModelLarge, 3)
		}, isSuccess)
	}
	s.standin.ChangeConfig(func(config *wire.Config) {
		config.Tenants[1].APIKeys = []string{"new-key"}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer { return get(s.client(i, "new-key")) }, isSuccess)
	}
	heads := s.standin.Heads(standin.ModelSmall)
	s.standin.Members(heads[0])[1].Kill()
	s.awaitTrue(func() bool {
		return len(s.standin.Heads(standin.ModelSmall)) == len(heads)
	})
}

// Guards against invalid rows that other writers leave in the daemons' tables. Such rows hid the
// rest of a page, filled the logs, were used as servers, or prevented the lease from being
// acquired.
func TestInvalidRowsOfOtherWritersAreIgnored(t *testing.T) {
	s := newSite(t, 3)
	const rowsPerValue = 40
	for i := range rowsPerValue {
		for n, value := range invalidValues {
			for _, table := range []string{wire.TableServers, wire.TableConfig, neighbours.Table, "told", assembly.Table, assembly.RecentModelsTable} {
				s.standin.Store.Write(table, fmt.Sprintf("strange-%d-%d", n, i), []byte(value))
			}
			s.standin.Store.Write("told", fmt.Sprintf("end/strange-%d-%d", n, i), []byte(value))
			s.standin.Store.Write("told", fmt.Sprintf("limit/strange-%d-%d", n, i), []byte(value))
			s.standin.Store.Write("told", fmt.Sprintf("trial/strange-%d-%d", n, i), []byte(value))
		}
	}
	s.standin.Store.Write(leader.Table, "lease", []byte(invalidValues[0]))

	// A starting daemon reads all of these rows; running daemons watch the changes after them.
	s.daemons = append(s.daemons, s.startDaemon("front-d"))
	s.standin.ChangeConfig(func(config *wire.Config) {
		config.Tenants[1].APIKeys = []string{"new-key"}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, "new-key"))
		}, isSuccess)
		for range 10 {
			answer := get(s.client(i, standin.KeyCuenca))
			qt.Assert(t, isSuccess(answer), qt.IsTrue, qt.Commentf("%+v", answer))
		}
	}
	qt.Assert(t, len(s.lines("store: row not taken")) < rowsPerValue, qt.IsTrue)

	// The leader still works: a group that loses a member forms again.
	heads := s.standin.Heads(standin.ModelSmall)
	s.standin.Members(heads[0])[1].Kill()
	s.awaitTrue(func() bool {
		return len(s.standin.Heads(standin.ModelSmall)) == len(heads)
	})
}

// Guards against a valid entry that stays in force after it was replaced by an invalid one.
func TestServerWithInvalidatedEntryGetsNoNewRequests(t *testing.T) {
	s := newSite(t, 1)
	servers := s.standin.Servers(standin.ServicePlain)
	s.standin.Store.Write(wire.TableServers, servers[1].ID(), []byte(`{"Service":"board"}`))
	s.standin.Store.Write(wire.TableServers, servers[2].ID(), []byte("\x00\xff"))
	isFromFirst := func(answer standin.Answer) bool {
		return isSuccess(answer) && answer.Seal == "seal."+servers[0].ID()+"."+answer.ID
	}
	const inARow = 12
	count := 0
	s.awaitTrue(func() bool {
		if isFromFirst(get(s.client(0, standin.KeyCuenca))) {
			count++
		} else {
			count = 0
		}
		return count == inARow
	})
	for range inARow {
		qt.Assert(t, isFromFirst(get(s.client(0, standin.KeyCuenca))), qt.IsTrue)
	}
}
