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
func (h *fixedHandler) HandlePull(context.Context, peer.PullRequest) (peer.PullAnswer, error) {
	return h.answer, nil
}

const peerKey = "test-peer-key-0123456789"

// connect starts a server, and a client with a key.
func connect(t *testing.T, key string, handler peer.PullHandler) (pull func() (peer.PullAnswer, error), traffic *peer.Traffic) {
	t.Helper()
	traffic = &peer.Traffic{}
	server, err := peer.Listen("127.0.0.1:0", peerKey, handler, &peer.Traffic{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	client := peer.NewClient(peer.Hello{
		Key:    key,
		Daemon: "puller",
	}, traffic)
	t.Cleanup(client.Close)
	return func() (peer.PullAnswer, error) {
		return client.Pull(context.Background(), server.Address(), peer.PullRequest{})
	}, traffic
}

// TestPullReturnsCompleteAnswer checks that the decoded answer is the one sent, and that no
// observation appears more recent than it is.
func TestPullReturnsCompleteAnswer(t *testing.T) {
	now := time.Now()
	handler := &fixedHandler{
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
	pull, _ := connect(t, peerKey, handler)
	got, err := pull()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Incarnation, qt.Equals, "one")
	qt.Assert(t, got.Position, qt.Equals, 7)
	qt.Assert(t, got.Rows, qt.DeepEquals, handler.answer.Rows)
	qt.Assert(t, got.Reports, qt.HasLen, 1)
	qt.Assert(t, got.Reports[0].Daemon, qt.Equals, "daemon-1")
	qt.Assert(t, got.Reports[0].ConfigVersion, qt.Equals, uint64(99))
	qt.Assert(t, got.Reports[0].ObservedAt.After(handler.answer.Reports[0].ObservedAt), qt.IsFalse)
	qt.Assert(t, got.Evidence, qt.HasLen, 2)
	first := got.Evidence[0]
	qt.Assert(t, first.ObservedAt.After(handler.answer.Evidence[0].ObservedAt), qt.IsFalse)
	first.ObservedAt = handler.answer.Evidence[0].ObservedAt
	qt.Assert(t, first, qt.Equals, handler.answer.Evidence[0])
	qt.Assert(t, got.Evidence[1].IsWhole, qt.IsFalse)
}

// TestObservationIsSentAgainOnlyIfNewer checks that a session sends the same observation once,
// a newer one again, and one that is too old never.
func TestObservationIsSentAgainOnlyIfNewer(t *testing.T) {
	handler := &fixedHandler{}
	setObservedAt := func(observedAt time.Time) {
		handler.answer.Evidence = []presence.Evidence{{
			Group:      "g",
			IsWhole:    true,
			ObservedAt: observedAt,
		}}
	}
	pull, _ := connect(t, peerKey, handler)
	observedAt := time.Now()
	for _, step := range []struct {
		observedAt time.Time
		expected   int
	}{{
		observedAt: observedAt,
		expected:   1,
	}, {
		observedAt: observedAt,
		expected:   0,
	}, {
		observedAt: observedAt.Add(time.Millisecond),
		expected:   1,
	}, {
		observedAt: observedAt.Add(-time.Minute),
		expected:   0,
	}} {
		setObservedAt(step.observedAt)
		got, err := pull()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Evidence, qt.HasLen, step.expected)
	}
}

// TestNamesAreSentOncePerConnection checks that the size of a later answer does not depend on
// the length of the names.
func TestNamesAreSentOncePerConnection(t *testing.T) {
	handler := &fixedHandler{}
	pull, traffic := connect(t, peerKey, handler)
	bytesOfPull := func() int64 {
		handler.answer.Evidence = nil
		for number := range 100 {
			handler.answer.Evidence = append(handler.answer.Evidence, presence.Evidence{
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
	bytesOfPull()
	qt.Assert(t, bytesOfPull() < 100*12+200, qt.IsTrue)
}

func TestWrongPeerKeyIsRefused(t *testing.T) {
	pull, _ := connect(t, "another-key-0123456789", &fixedHandler{})
	_, err := pull()
	qt.Assert(t, err, qt.ErrorMatches, ".*wrong peer key.*")
}
