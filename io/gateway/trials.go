package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"headcourse/core/quarantine"
)

// trialPollInterval is the time between two looks at the result of a trial.
const trialPollInterval = 50 * time.Millisecond

// maxRefusedClaims bounds the claims of trials for one request, each of which is a call to the store.
const maxRefusedClaims = 2

// mayResendTrials reports whether the request is on trial and may be sent to another server.
func (j *job) mayResendTrials() bool {
	for _, trial := range j.trials {
		if !j.server.ledger.MayResend(trial) {
			return false
		}
	}
	return len(j.trials) > 0
}

// claimTrials reports whether all daemons agree to the trials of the request's suspect digests. One
// request at a time claims the trial of a digest.
func (j *job) claimTrials(trials []quarantine.Trial) bool {
	if !j.server.trialClaims.begin(trials) {
		return false
	}
	defer j.server.trialClaims.end(trials)
	isAgreed := j.server.source.ClaimTrials(trials)
	var suspects []quarantine.Digest
	for _, trial := range trials {
		suspects = append(suspects, trial.Digest)
	}
	j.server.log.Info("clients: trial of a suspected request",
		zap.String("request_id", j.request.ID),
		zap.Strings("suspects", texts(suspects)),
		zap.Stringer("content", j.contentDigest()),
		zap.Int("trial", trials[0].Number),
		zap.Strings("ended", j.server.ledger.CrashedStarts(suspects...)),
		zap.Bool("is_agreed", isAgreed))
	if !isAgreed {
		j.refusedClaims++
		return false
	}
	j.trials = trials
	j.excludeCrashed(suspects)
	return true
}

// releaseTrials takes the trials of a finished request back if it reached no server, so that another
// request can have them.
func (j *job) releaseTrials() {
	if len(j.trials) > 0 && !j.history.HasArrived() {
		j.server.source.ReleaseTrials(j.trials)
	}
}

// trialOf returns the number of the trial of a digest, 0 if the attempt is none.
func (a *attempt) trialOf(digest quarantine.Digest) int {
	for _, trial := range a.trials {
		if trial.Digest == digest {
			return trial.Number
		}
	}
	return 0
}

// excludeCrashed excludes servers that crashed under the suspects and may still be listed: a
// trial there does not show whether the request crashes servers. If no other server is
// available, it excludes none, since they may have restarted.
func (j *job) excludeCrashed(suspects []quarantine.Digest) {
	crashedStarts := j.server.ledger.CrashedStarts(suspects...)
	var crashed []string
	hasOther := false
	for _, server := range j.server.availableServers(j.service, j.request.Model) {
		if slices.Contains(crashedStarts, server.StartID()) {
			crashed = append(crashed, server.ID)
		} else {
			hasOther = true
		}
	}
	if !hasOther {
		return
	}
	for _, id := range crashed {
		j.history.Exclude(id)
	}
}

// trialClaims are the digests whose trials this daemon is claiming. The zero value is empty.
type trialClaims struct {
	mutex   sync.Mutex
	digests map[quarantine.Digest]bool
}

// begin reports whether none of the trials is being claimed, and marks all of them as such if so.
func (c *trialClaims) begin(trials []quarantine.Trial) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, trial := range trials {
		if c.digests[trial.Digest] {
			return false
		}
	}
	if c.digests == nil {
		c.digests = map[quarantine.Digest]bool{}
	}
	for _, trial := range trials {
		c.digests[trial.Digest] = true
	}
	return true
}

// end marks the trials as no longer being claimed.
func (c *trialClaims) end(trials []quarantine.Trial) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, trial := range trials {
		delete(c.digests, trial.Digest)
	}
}
