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

// revokeDeadline is the time from the acknowledged revocation of a key until no request may
// run under it: RevokeMs of the stand-in's settings, plus 100 ms for the soak's delay in
// reading its clock.
const revokeDeadline = 5*time.Second + 100*time.Millisecond

// configApplyTime is the time from a change of the configuration until all daemons use it: ConfigApplyMs of the
// stand-in's settings.
const configApplyTime = 2 * time.Second

// keyring holds the key in force and those that were revoked. Keys are replaced while clients
// use them.
type keyring struct {
	mutex sync.Mutex
	// rotations is held during a change of the key, so that they reach the configuration in order.
	rotations sync.Mutex
	// rotatedAt is when the key was changed last.
	rotatedAt time.Time
	// issued counts the new keys; revokedAt is when the revocation of a key was acknowledged.
	issued    int
	current   string
	revoked   []string
	revokedAt map[string]time.Time
}

// pick returns the key in force or, if wantRevoked is set and a key was revoked, the one that
// was revoked last.
func (k *keyring) pick(wantRevoked bool) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if wantRevoked && len(k.revoked) > 0 {
		return k.revoked[len(k.revoked)-1]
	}
	if k.current == "" {
		return standin.KeyCuenca
	}
	return k.current
}

// rotate makes a new key the one in force and returns it. The caller must call acknowledge when
// the store has the key; from then on the former key counts as revoked.
func (k *keyring) rotate() (newKey string, acknowledge func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	former := k.current
	if former == "" {
		former = standin.KeyCuenca
	}
	k.issued++
	k.rotatedAt = time.Now()
	k.current = fmt.Sprintf("soak-key-%d", k.issued)
	return k.current, func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.revoked = append(k.revoked, former)
		k.revokedAt[former] = time.Now()
	}
}

// mustAccept reports whether all daemons must accept a request that was sent with the key at a time and has ended.
func (k *keyring) mustAccept(key string, sentAt time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	isCurrent := k.current == "" || k.current == key
	return isCurrent && sentAt.Sub(k.rotatedAt) > configApplyTime
}

// mustReject reports whether a request that is sent now must not run under the key.
func (k *keyring) mustReject(key string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	revokedAt, ok := k.revokedAt[key]
	return ok && time.Since(revokedAt) > revokeDeadline
}

// outcomeCounter counts requests by outcome.
type outcomeCounter struct {
	mutex  sync.Mutex
	counts map[string]int
}

// add counts one request.
func (c *outcomeCounter) add(outcome string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[outcome]++
}

// String returns all counts, ordered by outcome.
func (c *outcomeCounter) String() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, c.counts[name]))
	}
	return strings.Join(parts, ", ")
}

// runClient sends requests of all kinds to one daemon, over connections that it reuses, until
// ctx ends.
func (s *soak) runClient(ctx context.Context, daemonIndex int) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[daemonIndex].clientProxy.Address(),
		Daemon:   s.daemons[daemonIndex].name,
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		const revokedKeyEvery = 7
		client.Key = s.keys.pick(turn%revokedKeyEvery == 0)
		client.PromptParts = soundParts(turn)
		client.UploadTime = s.uploadTime(turn)
		mustReject := s.keys.mustReject(client.Key)
		answer := s.sendRequest(ctx, client, turn)
		if mustReject && s.platform.Runs(answer.ID) > 0 {
			s.platform.RecordViolation("request " + answer.ID + " ran under a key that was revoked more than " + revokeDeadline.String() + " before")
		}
		outcome := fmt.Sprintf("%d", answer.Status)
		if answer.Err != nil {
			outcome = "broken"
		}
		if answer.Reason == "crashes_servers" {
			// Counted separately: the daemon holds the request, because one with the same
			// content ran on a server that another request crashed.
			outcome = "held beside a crash"
		}
		s.outcomes.add(outcome)
		time.Sleep(clientInterval)
	}
}

// cancelTime is when a request that is cancelled early is cancelled.
const cancelTime = 80 * time.Millisecond

// sendRequest sends one request; the turn selects its kind. Every cancelEvery-th request is
// cancelled early, unless cancelsNone is set.
func (s *soak) sendRequest(ctx context.Context, client *standin.Client, turn int) standin.Answer {
	const (
		kinds, cancelEvery = 4, 11
		longStreamEvents   = 60
	)
	timeout := 8 * time.Second
	if turn%cancelEvery == 0 && !s.cancelsNone.Load() {
		timeout = cancelTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch turn % kinds {
	case 0:
		return client.Send(ctx, http.MethodGet, standin.PathSafe+"gate", nil, "")
	case 1:
		return client.Send(ctx, http.MethodPost, standin.PathUnsafe+"report", nil, strings.Repeat("valve ", turn%3000))
	case 2:
		return client.Stream(ctx, standin.ModelLarge, longStreamEvents)
	default:
		return client.Stream(ctx, standin.ModelSmall, s.smallStreamEvents(turn))
	}
}

// awaitServing waits until every daemon serves every kind of request. It returns a failure for
// each daemon and kind that still fails after servingTimeout.
func (s *soak) awaitServing(phase string) []string {
	var failures []string
	for i, d := range s.daemons {
		for kind := range 4 {
			client := &standin.Client{
				Platform: s.platform,
				Address:  s.daemons[i].clientProxy.Address(),
			}
			// uncancelledTurn plus any kind is no multiple of cancelEvery, so no request is
			// cancelled early.
			const uncancelledTurn = 100
			answer, ok := standin.Await(servingTimeout, func() standin.Answer {
				client.Key = s.keys.pick(false)
				return s.sendRequest(context.Background(), client, uncancelledTurn+kind)
			}, func(answer standin.Answer) bool {
				return answer.Status == http.StatusOK && answer.Err == nil
			})
			if !ok {
				failures = append(failures, fmt.Sprintf("%s: %s does not serve kind %d: status %d, %v", phase, d.name, kind, answer.Status, answer.Err))
			}
		}
	}
	return failures
}

// rotateKeys revokes the key in force and issues another.
func (s *soak) rotateKeys() {
	s.keys.rotations.Lock()
	defer s.keys.rotations.Unlock()
	newKey, acknowledge := s.keys.rotate()
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{newKey}
	})
	acknowledge()
}
