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

// world is daemons that get requests with few keys, and a backend server.
type world struct {
	rt      *rapid.T
	store   *tablestore.Flaky
	alive   map[string]bool
	daemons []string
	born    int
	// runs and answers are what the backend server did, by key.
	runs    map[string]int
	answers map[string]string
}

// addDaemon starts a daemon.
func (w *world) addDaemon() {
	w.born++
	id := fmt.Sprintf("daemon-%d", w.born)
	w.daemons = append(w.daemons, id)
	w.alive[id] = true
}

// crash replaces a daemon.
func (w *world) crash(index int) {
	delete(w.alive, w.daemons[index])
	w.daemons = append(w.daemons[:index], w.daemons[index+1:]...)
	w.addDaemon()
}

// request sends one keyed request through one daemon, which may crash at any
// point, and checks what the caller is told.
func (w *world) request(index int, key, body string) {
	settling := &table.Settling{
		Store: w.store,
	}
	keeper := idempotency.Keeper{
		Store:  settling,
		Commit: settling.Commit,
		IsAlive: func(daemon string) bool {
			return w.alive[daemon]
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	held, kept, refusal := keeper.Take(ctx, idempotency.Name{
		Organisation: "org",
		Route:        "POST /x",
		Key:          key,
	}, idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody([]byte(body)),
		Daemon:   w.daemons[index],
		Expires:  time.Now().Add(time.Hour),
	})
	switch {
	case refusal != nil:
		if refusal.Outcome == outcome.Ran {
			w.rt.Fatalf("key %s: refused as %s", key, refusal)
		}
	case kept != nil:
		if string(kept.Body) != w.answers[key] {
			w.rt.Fatalf("key %s: kept %q, first answer was %q", key, kept.Body, w.answers[key])
		}
	default:
		w.run(index, key, body, &keeper, held)
	}
}

// run runs a claimed request.
func (w *world) run(index int, key, body string, keeper *idempotency.Keeper, held *idempotency.Held) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	what := rapid.SampledFrom([]string{"run", "run", "run", "crash before", "crash after", "refused", "lost"}).Draw(w.rt, "what")
	if what == "crash before" {
		w.crash(index)
		return
	}
	if what == "refused" {
		_ = keeper.Free(ctx, held)
		return
	}
	w.runs[key]++
	if w.runs[key] > 1 {
		w.rt.Fatalf("key %s ran %d times", key, w.runs[key])
	}
	w.answers[key] = fmt.Sprintf("answer to %s %s", key, body)
	switch what {
	case "crash after":
		w.crash(index)
	case "lost":
		_ = keeper.Lose(ctx, held)
	default:
		_ = keeper.Finish(ctx, held, idempotency.Answer{
			Status: 200,
			Body:   []byte(w.answers[key]),
		})
	}
}

// TestKeyRunsAtMostOnce sends requests with few keys through several daemons
// that crash, over a store that loses answers and lets commits arrive late.
func TestKeyRunsAtMostOnce(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		w := &world{
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
			w.addDaemon()
		}
		isNested := false
		w.store.Between = func() {
			if isNested || !rapid.Bool().Draw(rt, "meanwhile") {
				return
			}
			isNested = true
			w.request(len(w.daemons)-1, "k0", "body 0")
			isNested = false
		}
		for range 40 {
			index := rapid.IntRange(0, len(w.daemons)-1).Draw(rt, "daemon")
			if rapid.IntRange(0, 9).Draw(rt, "crash") == 0 {
				w.crash(index)
				continue
			}
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(rt, "key"))
			w.request(index, key, fmt.Sprintf("body %d", rapid.IntRange(0, 1).Draw(rt, "body")))
		}
	})
}

func TestAnotherBodyIsRefused(t *testing.T) {
	claim := idempotency.Claim{
		State:    idempotency.Done,
		BodyHash: idempotency.HashBody([]byte("x")),
	}
	_, refusal := claim.Judge(idempotency.HashBody([]byte("y")), func(string) bool {
		return true
	})
	if refusal == nil || refusal.Reason != outcome.ReasonKeyReused || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got %v", refusal)
	}
}

// TestRunningRequestIsNotSaidNotToRun: the caller that asks again must not
// conclude that its leak report was not filed.
func TestRunningRequestIsNotSaidNotToRun(t *testing.T) {
	claim := idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody([]byte("x")),
	}
	for _, isAlive := range []bool{true, false} {
		_, refusal := claim.Judge(idempotency.HashBody([]byte("x")), func(string) bool {
			return isAlive
		})
		if refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Fatalf("daemon alive %t: got %v", isAlive, refusal)
		}
	}
}
