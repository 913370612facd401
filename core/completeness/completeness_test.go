package completeness_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/completeness"
)

func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		end  completeness.End
		want completeness.Verdict
	}{
		"length": {
			end: completeness.End{
				Framing: completeness.FramedByLength,
			},
			want: completeness.Complete,
		},
		"empty stream in chunks": {
			end: completeness.End{
				Framing:  completeness.FramedByChunks,
				IsStream: true,
			},
			want: completeness.Complete,
		},
		"last chunk inside an event": {
			end: completeness.End{
				Framing:            completeness.FramedByChunks,
				IsStream:           true,
				EventCount:         3,
				HasUnfinishedEvent: true,
			},
			want: completeness.EndsInsideEvent,
		},
		"close inside an event of a running server": {
			end: completeness.End{
				Framing:            completeness.FramedByClose,
				IsStream:           true,
				EventCount:         3,
				HasUnfinishedEvent: true,
				Server:             completeness.Running,
			},
			want: completeness.EndsInsideEvent,
		},
		"close before any event": {
			end: completeness.End{
				Framing:  completeness.FramedByClose,
				IsStream: true,
				Server:   completeness.Running,
			},
			want: completeness.HasNoEvents,
		},
		"close between events": {
			end: completeness.End{
				Framing:    completeness.FramedByClose,
				IsStream:   true,
				EventCount: 3,
			},
			want: completeness.NeedsServerState,
		},
		"close between events, server down": {
			end: completeness.End{
				Framing:    completeness.FramedByClose,
				IsStream:   true,
				EventCount: 3,
				Server:     completeness.Down,
			},
			want: completeness.ServerCrashed,
		},
		"close between events, leaving server gone": {
			end: completeness.End{
				Framing:    completeness.FramedByClose,
				IsStream:   true,
				EventCount: 3,
				Server:     completeness.Gone,
			},
			want: completeness.ServerGone,
		},
		"close of a plain answer, server running": {
			end: completeness.End{
				Framing: completeness.FramedByClose,
				Server:  completeness.Running,
			},
			want: completeness.Complete,
		},
	} {
		qt.Check(t, test.end.Decide(), qt.Equals, test.want, qt.Commentf(name))
	}
}

func TestServerStateLeavesEndUnchanged(t *testing.T) {
	end := completeness.End{
		Framing: completeness.FramedByClose,
	}
	qt.Check(t, end.WithServer(completeness.Down).Decide(), qt.Equals, completeness.ServerCrashed)
	qt.Check(t, end.Decide(), qt.Equals, completeness.NeedsServerState)
}
