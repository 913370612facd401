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

// fixedHandler answers every pull with a fixed answer.
type fixedHandler struct {
	answer peer.PullAnswer
}

// HandlePull returns the answer.
func (a *fixedHandler) HandlePull(context.Context, peer.PullRequest) (peer.PullAnswer, error) {
	return a.answer, nil
}

const peerKey = "test-peer-key-0123456789"

// connect starts a server, and a client with a key.
func connect(t *testing.T, key string, source peer.PullHandler) (pull func() (peer.PullAnswer, error), traffic *peer.Traffic) {
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
	return func() (peer.PullAnswer, error) {
		return client.Pull(context.Background(), server.Address(), peer.PullRequest{})
	}, traffic
}

// TestPullReturnsWholeAnswer checks that the decoded answer is the one sent, and that no
// observation appears more recent than it is.
func TestPullReturnsWholeAnswer(t *testing.T) {
	now := time.Now()
	source := &fixedHandler{
		answer: peer.PullAnswer{
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
				ObservedAt:    now.Add(-time.Second),
			}},
			Evidence: []presence.Evidence{{
				Group:      "redactor-1",
				Generation: 4,
				IsWhole:    true,
				ObservedAt: now.Add(-2 * time.Second),
				InFlight:   5,
				Slots:      32,
			}, {
				Group:      "redactor-2",
				ObservedAt: now.Add(-time.Millisecond),
			}},
		},
	}
	pull, _ := connect(t, peerKey, source)
	got, err := pull()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Incarnation, qt.Equals, "one")
	qt.Assert(t, got.Position, qt.Equals, 7)
	qt.Assert(t, got.Rows, qt.DeepEquals, source.answer.Rows)
	qt.Assert(t, got.Reports, qt.HasLen, 1)
	qt.Assert(t, got.Reports[0].Daemon, qt.Equals, "daemon-1")
	qt.Assert(t, got.Reports[0].ConfigVersion, qt.Equals, uint64(99))
	qt.Assert(t, got.Reports[0].ObservedAt.After(source.answer.Reports[0].ObservedAt), qt.IsFalse)
	qt.Assert(t, got.Evidence, qt.HasLen, 2)
	first := got.Evidence[0]
	qt.Assert(t, first.ObservedAt.After(source.answer.Evidence[0].ObservedAt), qt.IsFalse)
	first.ObservedAt = source.answer.Evidence[0].ObservedAt
	qt.Assert(t, first, qt.Equals, source.answer.Evidence[0])
	qt.Assert(t, got.Evidence[1].IsWhole, qt.IsFalse)
}

// TestObservationIsSentAgainOnlyIfNewer checks that a session sends the same observation once,
// a newer one again, and one that is too old never.
func TestObservationIsSentAgainOnlyIfNewer(t *testing.T) {
	source := &fixedHandler{}
	setObservedAt := func(at time.Time) {
		source.answer.Evidence = []presence.Evidence{{
			Group:      "g",
			IsWhole:    true,
			ObservedAt: at,
		}}
	}
	pull, _ := connect(t, peerKey, source)
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
		setObservedAt(step.at)
		got, err := pull()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Evidence, qt.HasLen, step.expected)
	}
}

// TestNamesAreSentOncePerConnection checks that the size of a later answer does not depend on
// the length of the names.
func TestNamesAreSentOncePerConnection(t *testing.T) {
	source := &fixedHandler{}
	pull, traffic := connect(t, peerKey, source)
	cost := func() int64 {
		source.answer.Evidence = nil
		for number := range 100 {
			source.answer.Evidence = append(source.answer.Evidence, presence.Evidence{
				Group:      fmt.Sprintf("a-group-with-quite-a-long-name-%d", number),
				IsWhole:    true,
				ObservedAt: time.Now(),
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

func TestWrongPeerKeyIsRefused(t *testing.T) {
	pull, _ := connect(t, "another-key-0123456789", &fixedHandler{})
	_, err := pull()
	qt.Assert(t, err, qt.ErrorMatches, ".*wrong peer key.*")
}
