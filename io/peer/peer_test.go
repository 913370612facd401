package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/contact"
	"headcourse/core/presence"
	"headcourse/core/table"
	"headcourse/io/peer"
)

// answerer answers every pull with what the test says.
type answerer struct {
	answer peer.Answer
}

// AnswerPull returns the answer.
func (a *answerer) AnswerPull(context.Context, peer.PullRequest) (peer.Answer, error) {
	return a.answer, nil
}

const peerKey = "test-peer-key-0123456789"

// talk starts a server and a client with a key.
func talk(t *testing.T, key string, source peer.Answerer) (pull func() (peer.Answer, error), traffic *peer.Traffic) {
	t.Helper()
	traffic = &peer.Traffic{}
	server, err := peer.Listen("127.0.0.1:0", peerKey, source, &peer.Traffic{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	client := peer.NewClient(peer.Hello{
		Key:    key,
		Daemon: "asker",
	}, traffic)
	t.Cleanup(client.Close)
	return func() (peer.Answer, error) {
		return client.Pull(context.Background(), server.Address(), peer.PullRequest{})
	}, traffic
}

// TestPullCarriesEverything: what arrives is what was said, and never younger.
func TestPullCarriesEverything(t *testing.T) {
	now := time.Now()
	source := &answerer{
		answer: peer.Answer{
			Incarnation: "one",
			Position:    7,
			Rows: []table.Row{{
				Key:     "fleet/a",
				Version: 3,
				Value:   []byte(`{"x":1}`),
			}},
			Reports: []contact.Report{{
				Daemon:        "daemon-1",
				ConfigVersion: 99,
				At:            now.Add(-time.Second),
			}},
			Evidence: []presence.Evidence{{
				Group:      "redactor-1",
				Generation: 4,
				Whole:      true,
				At:         now.Add(-2 * time.Second),
				InFlight:   5,
				Slots:      32,
			}, {
				Group: "redactor-2",
				At:    now.Add(-time.Millisecond),
			}},
		},
	}
	pull, _ := talk(t, peerKey, source)
	got, err := pull()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Incarnation, qt.Equals, "one")
	qt.Assert(t, got.Position, qt.Equals, 7)
	qt.Assert(t, got.Rows, qt.DeepEquals, source.answer.Rows)
	qt.Assert(t, got.Reports, qt.HasLen, 1)
	qt.Assert(t, got.Reports[0].Daemon, qt.Equals, "daemon-1")
	qt.Assert(t, got.Reports[0].ConfigVersion, qt.Equals, uint64(99))
	qt.Assert(t, got.Reports[0].At.After(source.answer.Reports[0].At), qt.IsFalse)
	qt.Assert(t, got.Evidence, qt.HasLen, 2)
	first := got.Evidence[0]
	qt.Assert(t, first.At.After(source.answer.Evidence[0].At), qt.IsFalse)
	first.At = source.answer.Evidence[0].At
	qt.Assert(t, first, qt.Equals, source.answer.Evidence[0])
	qt.Assert(t, got.Evidence[1].Whole, qt.IsFalse)
}

// TestOnlyNewsIsToldAgain: the same observation is not told twice in one
// conversation, a newer one is, and one too old never.
func TestOnlyNewsIsToldAgain(t *testing.T) {
	source := &answerer{}
	say := func(at time.Time) {
		source.answer.Evidence = []presence.Evidence{{
			Group: "g",
			Whole: true,
			At:    at,
		}}
	}
	pull, _ := talk(t, peerKey, source)
	seen := time.Now()
	for _, step := range []struct {
		at       time.Time
		expected int
	}{{
		at:       seen,
		expected: 1,
	}, {
		at:       seen,
		expected: 0,
	}, {
		at:       seen.Add(time.Millisecond),
		expected: 1,
	}, {
		at:       seen.Add(-time.Minute),
		expected: 0,
	}} {
		say(step.at)
		got, err := pull()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Evidence, qt.HasLen, step.expected)
	}
}

// TestNamesAreToldOnce: what the tenth pull costs does not depend on how long
// the names are.
func TestNamesAreToldOnce(t *testing.T) {
	source := &answerer{}
	pull, traffic := talk(t, peerKey, source)
	cost := func() int64 {
		source.answer.Evidence = nil
		for number := range 100 {
			source.answer.Evidence = append(source.answer.Evidence, presence.Evidence{
				Group: fmt.Sprintf("a-group-with-quite-a-long-name-%d", number),
				Whole: true,
				At:    time.Now(),
			})
		}
		before := traffic.Read.Load()
		_, err := pull()
		qt.Assert(t, err, qt.IsNil)
		return traffic.Read.Load() - before
	}
	cost()
	qt.Assert(t, cost() < 100*12+200, qt.IsTrue)
}

func TestStrangersAreRefused(t *testing.T) {
	pull, _ := talk(t, "another-key-0123456789", &answerer{})
	_, err := pull()
	qt.Assert(t, err, qt.ErrorMatches, ".*wrong peer key.*")
}
