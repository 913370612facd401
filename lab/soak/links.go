package soak

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"headcourse/lab/link"
	"headcourse/lab/standin"
)

// Parameters of the check of daemons without links.
const (
	// linkContactTime is the time after the begin of the fault from which first attempts count.
	linkContactTime = 900 * time.Millisecond
	// linkAttempts is the number of first attempts of each kind at each daemon.
	linkAttempts = 6
	// linkFaultsChecked is the number of forms of the fault that one run checks.
	linkFaultsChecked = 2
	// minServedShare is how often first attempts must be served at daemons without links, as a share of
	// how often they are at the others.
	minServedShare = 0.97
	// toleratedFailures is the number of first attempts that may fail beyond that share.
	toleratedFailures = 1
)

// setLink sets the fault of a daemon's links to all backend servers.
func (s *soak) setLink(d *daemon, fault link.Fault) {
	if err := link.Write(filepath.Join(s.options.Dir, d.name+".link"), fault); err != nil {
		s.logf("%s", err)
	}
}

// randomLinkFault returns a random fault of links.
func (s *soak) randomLinkFault() link.Fault {
	all := link.Faults()
	return all[s.random.IntN(len(all))]
}

// cutOffDaemons makes some daemons, or all, lose their links to all backend servers.
func cutOffDaemons(s *soak) func() {
	fault := s.randomLinkFault()
	order := s.random.Perm(len(s.daemons))
	cut := order[:1+s.random.IntN(len(order))]
	for _, i := range cut {
		s.setLink(s.daemons[i], fault)
	}
	return func() {
		for _, i := range cut {
			s.setLink(s.daemons[i], link.NoFault)
		}
	}
}

// firstAttempts counts first attempts.
type firstAttempts struct {
	sent   atomic.Int64
	served atomic.Int64
}

// share returns the share of first attempts that were served.
func (f *firstAttempts) share() float64 {
	return float64(f.served.Load()) / float64(max(1, f.sent.Load()))
}

// checkLinks cuts all daemons but one off from the servers, without other faults, by some forms of the
// fault. It returns a failure if these daemons serve first attempts less often than the other one, or
// if a group ends.
func (s *soak) checkLinks() []string {
	if len(s.daemons) < 2 {
		return nil
	}
	var failures []string
	all := link.Faults()
	for _, i := range s.random.Perm(len(all))[:linkFaultsChecked] {
		failures = append(failures, s.checkLinkFault(all[i])...)
	}
	return append(failures, s.awaitServing("links restored")...)
}

// checkLinkFault checks one form of the fault.
func (s *soak) checkLinkFault(fault link.Fault) []string {
	kept := s.random.IntN(len(s.daemons))
	heads := s.headIDs()
	for i, d := range s.daemons {
		if i != kept {
			s.setLink(d, fault)
		}
	}
	time.Sleep(linkContactTime)
	var cut, others firstAttempts
	var attempts sync.WaitGroup
	for i, d := range s.daemons {
		counted := &cut
		if i == kept {
			counted = &others
		}
		attempts.Go(func() { s.sendFirstAttempts(d, counted) })
	}
	attempts.Wait()
	var failures []string
	for id := range heads {
		if !s.headIDs()[id] {
			failures = append(failures, fmt.Sprintf("links %s: the group of head %s ended", fault, id))
		}
	}
	for _, d := range s.daemons {
		s.setLink(d, link.NoFault)
	}
	s.logf("links %s at all daemons but one: %d of %d first attempts served there, %d of %d at the other", fault, cut.served.Load(), cut.sent.Load(), others.served.Load(), others.sent.Load())
	needed := minServedShare*others.share()*float64(cut.sent.Load()) - toleratedFailures
	if float64(cut.served.Load()) < needed {
		failures = append(failures, fmt.Sprintf("links %s: daemons without links served %d of %d first attempts, %.0f are needed", fault, cut.served.Load(), cut.sent.Load(), needed))
	}
	return failures
}

// headIDs returns the IDs of the heads of all open groups.
func (s *soak) headIDs() map[string]bool {
	heads := map[string]bool{}
	for _, model := range []string{standin.ModelLarge, standin.ModelSmall} {
		for _, head := range s.platform.Heads(model) {
			heads[head.ID()] = true
		}
	}
	return heads
}

// sendFirstAttempts sends requests of all kinds to a daemon, those of one kind one after the other.
func (s *soak) sendFirstAttempts(d *daemon, counted *firstAttempts) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  d.clientProxy.Address(),
		Daemon:   d.name,
		Key:      s.keys.pick(false),
	}
	const kinds, uncancelledTurn = 4, 100
	var attempts sync.WaitGroup
	for kind := range kinds {
		attempts.Go(func() {
			for range linkAttempts {
				answer := s.sendRequest(context.Background(), client, uncancelledTurn+kind)
				counted.sent.Add(1)
				if answer.Status == http.StatusOK && answer.Err == nil {
					counted.served.Add(1)
				}
			}
		})
	}
	attempts.Wait()
}
