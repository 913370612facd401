package idempotency_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/core/table"
	"headcourse/lab/fuzz"
	"headcourse/lab/tablestore"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// simulation simulates daemons that get requests with few keys, and a backend server.
type simulation struct {
	rt      *rapid.T
	store   *tablestore.Flaky
	alive   map[string]bool
	daemons []string
	started int
	// runs counts the runs of each key at the backend server; answers holds its answer
	// to each key.
	runs    map[string]int
	answers map[string]string
}

// addDaemon starts a daemon.
func (s *simulation) addDaemon() {
	s.started++
	id := fmt.Sprintf("daemon-%d", s.started)
	s.daemons = append(s.daemons, id)
	s.alive[id] = true
}

// crash replaces a daemon by a new one.
func (s *simulation) crash(index int) {
	delete(s.alive, s.daemons[index])
	s.daemons = append(s.daemons[:index], s.daemons[index+1:]...)
	s.addDaemon()
}

// request sends one request with a key through one daemon, which may crash at any
// point, and checks the result that the caller gets.
func (s *simulation) request(index int, key, body string) {
	resolving := &table.ResolvingStore{
		Store: s.store,
	}
	claimer := idempotency.Claimer{
		Store:  resolving,
		Commit: resolving.Commit,
		IsAlive: func(daemon string) bool {
			return s.alive[daemon]
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	held, stored, refusal := claimer.Claim(ctx, idempotency.ClaimName{
		Organisation: "org",
		Route:        "POST /x",
		Key:          key,
	}, idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody([]byte(body)),
		Daemon:   s.daemons[index],
		Expires:  time.Now().Add(time.Hour),
	})
	switch {
	case refusal != nil:
		if refusal.Outcome == outcome.Ran {
			s.rt.Fatalf("key %s: refused as %s", key, refusal)
		}
	case stored != nil:
		if string(stored.Body) != s.answers[key] {
			s.rt.Fatalf("key %s: stored %q, first answer was %q", key, stored.Body, s.answers[key])
		}
	default:
		s.execute(index, key, body, &claimer, held)
	}
}

// execute runs a claimed request, and draws how it ends.
func (s *simulation) execute(index int, key, body string, claimer *idempotency.Claimer, held *idempotency.ActiveClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	event := rapid.SampledFrom([]string{"run", "run", "run", "crash before", "crash after", "refused", "lost"}).Draw(s.rt, "what")
	if event == "crash before" {
		s.crash(index)
		return
	}
	if event == "refused" {
		_ = claimer.Release(ctx, held)
		return
	}
	s.runs[key]++
	if s.runs[key] > 1 {
		s.rt.Fatalf("key %s ran %d times", key, s.runs[key])
	}
	s.answers[key] = fmt.Sprintf("answer to %s %s", key, body)
	switch event {
	case "crash after":
		s.crash(index)
	case "lost":
		_ = claimer.MarkUnknown(ctx, held)
	default:
		_ = claimer.Complete(ctx, held, idempotency.Answer{
			Status: 200,
			Body:   []byte(s.answers[key]),
		})
	}
}

// TestKeyRunsAtMostOnce sends requests with few keys through several daemons
// that crash, with a store that loses answers and delays commits.
func TestKeyRunsAtMostOnce(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s := &simulation{
			rt:      rt,
			alive:   map[string]bool{},
			runs:    map[string]int{},
			answers: map[string]string{},
			store: &tablestore.Flaky{
				Memory: &tablestore.Memory{},
				Draw: func(name string, n int) int {
					return rapid.IntRange(0, n-1).Draw(rt, name)
				},
			},
		}
		for range 3 {
			s.addDaemon()
		}
		isNested := false
		s.store.BeforeCommit = func() {
			if isNested || !rapid.Bool().Draw(rt, "meanwhile") {
				return
			}
			isNested = true
			s.request(len(s.daemons)-1, "k0", "body 0")
			isNested = false
		}
		for range 40 {
			index := rapid.IntRange(0, len(s.daemons)-1).Draw(rt, "daemon")
			if rapid.IntRange(0, 9).Draw(rt, "crash") == 0 {
				s.crash(index)
				continue
			}
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(rt, "key"))
			s.request(index, key, fmt.Sprintf("body %d", rapid.IntRange(0, 1).Draw(rt, "body")))
		}
	})
}

func TestReusedKeyWithOtherBodyIsRefused(t *testing.T) {
	claim := idempotency.Claim{
		State:    idempotency.Done,
		BodyHash: idempotency.HashBody([]byte("x")),
	}
	_, refusal := claim.Resolve(idempotency.HashBody([]byte("y")), func(string) bool {
		return true
	})
	if refusal == nil || refusal.Reason != outcome.ReasonKeyReused || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got %v", refusal)
	}
}

// TestKeyOfRunningRequestYieldsUnknownOutcome guards against a retry being answered with
// not_run while the first request with the key may still run. The caller would
// conclude that its leak report was not filed.
func TestKeyOfRunningRequestYieldsUnknownOutcome(t *testing.T) {
	claim := idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody([]byte("x")),
	}
	for _, isAlive := range []bool{true, false} {
		_, refusal := claim.Resolve(idempotency.HashBody([]byte("x")), func(string) bool {
			return isAlive
		})
		if refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Fatalf("daemon alive %t: got %v", isAlive, refusal)
		}
	}
}
