package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// revokeBound is when a withdrawn key must be dead, by the settings that the
// stand-in writes, plus what the soak's own clock reading may lag.
const revokeBound = 5*time.Second + 100*time.Millisecond

// keyring knows which keys are in force. Keys are withdrawn and replaced while
// clients use them.
type keyring struct {
	mutex sync.Mutex
	// number makes new keys; withdraw is when a key's withdrawal was
	// acknowledged.
	number   int
	current  string
	former   []string
	withdraw map[string]time.Time
}

// use returns a key: mostly one in force, at times one that was withdrawn.
func (k *keyring) use(old bool) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if old && len(k.former) > 0 {
		return k.former[len(k.former)-1]
	}
	if k.current == "" {
		return standin.KeyOne
	}
	return k.current
}

// replace returns a new key for the organisation; withdrawn must be called when
// the store has it.
func (k *keyring) replace() (fresh string, withdrawn func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	former := k.current
	if former == "" {
		former = standin.KeyOne
	}
	k.number++
	k.current = fmt.Sprintf("soak-key-%d", k.number)
	return k.current, func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.former = append(k.former, former)
		k.withdraw[former] = time.Now()
	}
}

// isDead tells whether a request sent now must not run under a key.
func (k *keyring) isDead(key string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	at, ok := k.withdraw[key]
	return ok && time.Since(at) > revokeBound
}

// tally counts how requests ended.
type tally struct {
	mutex  sync.Mutex
	counts map[string]int
}

// add counts one.
func (t *tally) add(what string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[what]++
}

// String returns all counts, ordered by name.
func (t *tally) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, t.counts[name]))
	}
	return strings.Join(parts, ", ")
}

// runClient sends requests of all kinds to one daemon, over connections that it
// keeps, until ctx ends.
func (s *soak) runClient(ctx context.Context, i int) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[i].entry.Address(),
		Daemon:   s.daemons[i].name,
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		const oldEvery = 7
		client.Key = s.keys.use(turn%oldEvery == 0)
		wasDead := s.keys.isDead(client.Key)
		answer := s.askOne(ctx, client, turn)
		if wasDead && s.platform.Runs(answer.ID) > 0 {
			s.platform.Violate("request " + answer.ID + " ran under a key withdrawn more than " + revokeBound.String() + " before")
		}
		outcome := fmt.Sprintf("%d", answer.Status)
		if answer.Err != nil {
			outcome = "broken"
		}
		if answer.Reason == "crashes_servers" {
			// Counted apart: it merely ran where another request crashed its servers.
			outcome = "held beside a crash"
		}
		s.tally.add(outcome)
		time.Sleep(clientPause)
	}
}

// askOne sends one request, of each kind in turn. Some clients leave early.
func (s *soak) askOne(ctx context.Context, client *standin.Client, turn int) standin.Answer {
	const (
		kinds, leaveEvery    = 4, 11
		longStream, shortOne = 60, 8
	)
	limit := 8 * time.Second
	if turn%leaveEvery == 0 {
		limit = 80 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch turn % kinds {
	case 0:
		return client.Ask(ctx, http.MethodGet, standin.PathSafe+"gate", nil, "")
	case 1:
		return client.Ask(ctx, http.MethodPost, standin.PathUnsafe+"report", nil, strings.Repeat("valve ", turn%3000))
	case 2:
		return client.Stream(ctx, standin.ModelLarge, longStream)
	default:
		return client.Stream(ctx, standin.ModelSmall, shortOne)
	}
}

// await waits until every daemon serves every kind of request, and returns what
// does not work.
func (s *soak) await(what string) []string {
	var broken []string
	for i, one := range s.daemons {
		for turn := range 4 {
			client := &standin.Client{
				Platform: s.platform,
				Address:  s.daemons[i].entry.Address(),
			}
			// A turn that is no multiple of the early leavers' number.
			const patientTurn = 100
			answer, ok := standin.Await(patience, func() standin.Answer {
				client.Key = s.keys.use(false)
				return s.askOne(context.Background(), client, patientTurn+turn)
			}, func(answer standin.Answer) bool {
				return answer.Status == http.StatusOK && answer.Err == nil
			})
			if !ok {
				broken = append(broken, fmt.Sprintf("%s: %s does not serve kind %d: status %d, %v", what, one.name, turn, answer.Status, answer.Err))
			}
		}
	}
	return broken
}

// changeKeys withdraws the key in use and gives out another.
func (s *soak) changeKeys() {
	fresh, withdrawn := s.keys.replace()
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{fresh}
	})
	withdrawn()
}
