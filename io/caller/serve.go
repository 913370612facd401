package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"headcourse/core/admission"
	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/core/route"
	"headcourse/io/engine"
)

// maxAttempts is the maximum number of attempts for one request.
const maxAttempts = 3

// handleCompletion serves chat completions.
func (s *Server) handleCompletion(c fiber.Ctx) error {
	j, refusal := s.newJob(c)
	if refusal == nil {
		refusal = s.readCompletion(j)
	}
	return s.runJob(c, j, refusal)
}

// handleService serves requests to plain services.
func (s *Server) handleService(c fiber.Ctx) error {
	j, refusal := s.newJob(c)
	if refusal == nil {
		refusal = s.readService(c, j)
	}
	return s.runJob(c, j, refusal)
}

// readService sets the service that a request is for, and whether it is repeatable.
func (s *Server) readService(c fiber.Ctx, j *job) *outcome.Failure {
	service, ok := s.source.Snapshot().Declaration().ServiceFor(j.request.Path)
	if !ok {
		return outcome.NotRunFailure(outcome.ReasonUnknownRoute, "find service")
	}
	j.service = service.Name
	isSafe := j.request.Method != fiber.MethodPost && j.request.Method != fiber.MethodPatch
	j.repeatable = j.repeatable && isSafe && service.Repeatable(j.request.Method, j.request.Path)
	if accept := c.Get(fiber.HeaderAccept); accept != "" {
		j.request.Headers = append(j.request.Headers, [2]string{fiber.HeaderAccept, string([]byte(accept))})
	}
	return nil
}

// runJob serves a job until it is answered, or answers with its refusal.
func (s *Server) runJob(c fiber.Ctx, j *job, refusal *outcome.Failure) error {
	s.openCount.Add(1)
	unwatch := s.disconnects.Watch(c.RequestCtx().Conn(), func() {
		j.isCallerDisconnected.Store(true)
		if j.cancel != nil {
			j.cancel()
		}
		s.cancelWork(j)
	})
	j.onFinish = sync.OnceFunc(func() {
		unwatch()
		s.openCount.Add(-1)
	})
	if refusal != nil {
		j.finish()
		return s.sendFailure(c, j.id, refusal)
	}
	s.budget.RecordRequest()
	reply, failure := s.sendWithRetries(j)
	return s.respond(c, j, reply, failure)
}

// respond sends the result of a job to the caller.
func (s *Server) respond(c fiber.Ctx, j *job, reply engine.Reply, failure *outcome.Failure) error {
	if failure != nil {
		if j.mayHaveRun {
			failure.Outcome = outcome.Unknown
		}
		s.settleFailedClaim(j, failure)
		j.finish()
		return s.sendFailure(c, j.id, failure)
	}
	if reply.Stream != nil {
		return s.startRelay(c, j, reply)
	}
	s.storeAnswer(j, idempotency.Answer{
		Status:      reply.Status,
		ContentType: reply.ContentType,
		Body:        reply.Body,
	})
	j.finish()
	return s.sendAnswer(c, j.id, reply)
}

// sendWithRetries sends a job, and retries it as long as it fails and mayRetry allows.
func (s *Server) sendWithRetries(j *job) (engine.Reply, *outcome.Failure) {
	for {
		reply, failure := s.attemptSend(j)
		if failure == nil || !s.mayRetry(j, failure) {
			return reply, failure
		}
	}
}

// mayRetry reports whether a failed job may be retried: another backend server may
// answer it, it was not run or is repeatable, it has attempts and time left, and the
// retry budget is not spent. It counts the retry, and cancels work that may still run.
func (s *Server) mayRetry(j *job, failure *outcome.Failure) bool {
	switch failure.Reason {
	case outcome.ReasonBackendConnectFailed, outcome.ReasonEngineRefused, outcome.ReasonEngineBusy, outcome.ReasonConnectionLost:
	default:
		return false
	}
	if failure.Outcome != outcome.NotRun && !j.repeatable {
		return false
	}
	if j.attempts >= maxAttempts || j.ctx.Err() != nil {
		return false
	}
	if !s.budget.TrySpend() {
		s.count(counterRefusal + string(outcome.ReasonRetryBudget))
		return false
	}
	s.count(counterRetry + string(failure.Reason))
	s.log.Debug("callers: request retried", zap.String("request", j.id), zap.Error(failure))
	if failure.Outcome != outcome.NotRun {
		j.mayHaveRun = true
		s.cancelWork(j)
	}
	return true
}

// attemptSend makes one attempt: it waits for a slot at a backend server, claims
// the idempotency key, and sends the job.
func (s *Server) attemptSend(j *job) (engine.Reply, *outcome.Failure) {
	j.attempts++
	if refusal := s.admit(j); refusal != nil {
		return engine.Reply{}, refusal
	}
	if stored, refusal := s.claimKey(j); refusal != nil || stored != nil {
		s.releasePlaces(j)
		if refusal != nil {
			return engine.Reply{}, refusal
		}
		s.count(counterReplay)
		return engine.Reply{
			Status:      stored.Status,
			ContentType: stored.ContentType,
			Body:        stored.Body,
		}, nil
	}
	j.request.NewConnection = !j.repeatable
	reply, failure := s.send(j)
	if failure != nil {
		s.releasePlaces(j)
		s.recordRefusal(j, failure)
	}
	return reply, failure
}

// recordRefusal marks the evidence of a group as disproved after the group refused a
// request or could not be reached. The refusal is newer than the evidence that the
// group is whole.
func (s *Server) recordRefusal(j *job, failure *outcome.Failure) {
	isRefused := failure.Reason == outcome.ReasonEngineRefused || failure.Reason == outcome.ReasonBackendConnectFailed
	if isRefused && j.request.Group != "" {
		evidence, _ := s.source.Snapshot().Evidence.Newest(j.request.Group)
		s.refusedEvidence.Store(j.request.Group, evidence.ObservedAt)
	}
}

// releasePlaces releases a job's slot at the backend server and its place in the queue.
func (s *Server) releasePlaces(j *job) {
	j.releaseSlot()
	j.releaseQueuePlace()
}

// sendResult is the result of sending a job.
type sendResult struct {
	reply engine.Reply
	err   error
}

// send sends the job to its backend server. It waits for the answer, but no longer
// than until the deadline, or until the caller disconnects.
func (s *Server) send(j *job) (engine.Reply, *outcome.Failure) {
	if j.ctx.Err() != nil {
		return engine.Reply{}, s.endedBeforeSend(j)
	}
	call := j.request
	results := make(chan sendResult, 1)
	go func() {
		reply, err := s.source.Engines().Send(call)
		results <- sendResult{
			reply: reply,
			err:   err,
		}
	}()
	select {
	case result := <-results:
		if result.err != nil {
			return engine.Reply{}, outcome.FailureOf(result.err)
		}
		return result.reply, nil
	case <-j.ctx.Done():
		s.cancelWork(j)
		go discardResult(results)
		return engine.Reply{}, s.endedAfterSend(j)
	}
}

// discardResult closes the stream of an answer that arrives too late.
func discardResult(results <-chan sendResult) {
	result := <-results
	if result.reply.Stream != nil {
		result.reply.Stream.Close()
	}
}

// endedBeforeSend returns the failure of a job that ended before it was sent.
func (s *Server) endedBeforeSend(j *job) *outcome.Failure {
	return outcome.NotRunFailure(s.endReason(j, outcome.ReasonQueueDeadline), "send request")
}

// endReason returns why a job has ended early: the caller has disconnected, the daemon ends, or else a deadline.
func (s *Server) endReason(j *job, deadline outcome.Reason) outcome.Reason {
	switch {
	case j.isCallerDisconnected.Load():
		return outcome.ReasonCallerGone
	case s.jobsCtx.Err() != nil:
		return outcome.ReasonDaemonLeaving
	default:
		return deadline
	}
}

// endedAfterSend returns the failure of a job that ended after it was sent.
func (s *Server) endedAfterSend(j *job) *outcome.Failure {
	return &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  s.endReason(j, outcome.ReasonDeadline),
		Step:    "wait for answer",
		Peer:    j.request.Address,
	}
}

// cancelWork cancels the job at its engine, in the background. Plain services cannot
// cancel.
func (s *Server) cancelWork(j *job) {
	if address := j.assignedAddress.Load(); address != nil && j.model != "" {
		go s.source.Engines().Cancel(*address, j.id)
	}
}

// ----------------------------------------------------------------------------
// Admission and routing

// admit waits in the queue until the job has a slot at a backend server.
func (s *Server) admit(j *job) *outcome.Failure {
	snapshot := s.source.Snapshot()
	if refusal := s.refuseUnservable(j); refusal != nil {
		return refusal
	}
	queueWait := snapshot.Declaration().Limits.QueueWait.Or(declaration.DefaultQueueWait)
	ctx, cancel := context.WithTimeout(j.ctx, queueWait)
	defer cancel()
	release, refusal := s.queue.Admit(ctx, admission.Request{
		Organisation: j.organisation,
		Pool:         j.model + "/" + j.service,
		Priority:     j.priority,
		Daemons:      snapshot.Daemons,
		TryPlace: func() bool {
			return s.pickBackend(j)
		},
	})
	if refusal != nil {
		refusal.Reason = s.endReason(j, refusal.Reason)
		return refusal
	}
	j.releaseQueuePlace = release
	return nil
}

// refuseUnservable refuses a job at once if no group of its model is whole or no server
// of its service is live. Queueing it would only hide that.
func (s *Server) refuseUnservable(j *job) *outcome.Failure {
	snapshot := s.source.Snapshot()
	if j.model != "" && len(s.eligibleGroups(snapshot, j.model)) == 0 {
		return outcome.NotRunFailure(outcome.ReasonNoGroup, "choose group")
	}
	if j.service != "" && len(snapshot.LiveServers(j.service, time.Now())) == 0 {
		return outcome.NotRunFailure(outcome.ReasonNoServer, "choose server")
	}
	return nil
}

// eligibleGroups returns the groups of a model that may get a request, without those
// whose newest evidence was disproved by a refusal.
func (s *Server) eligibleGroups(snapshot *control.Snapshot, model string) []group.Record {
	groups := snapshot.ServingGroups(model, time.Now())
	return slices.DeleteFunc(groups, func(record group.Record) bool {
		evidence, _ := snapshot.Evidence.Newest(record.Name)
		disproved, ok := s.refusedEvidence.Load(record.Name)
		return ok && disproved == evidence.ObservedAt
	})
}

// pickBackend assigns a job to a backend server with a free slot. It returns false if
// there is none, or if this daemon may no longer use its snapshot.
func (s *Server) pickBackend(j *job) bool {
	if j.service != "" {
		return s.pickServer(j)
	}
	snapshot := s.source.Snapshot()
	if time.Now().After(snapshot.ServeUntil) {
		return false
	}
	groups := s.eligibleGroups(snapshot, j.model)
	candidates := make([]route.Candidate, len(groups))
	for i, record := range groups {
		evidence, _ := snapshot.Evidence.Newest(record.Name)
		candidates[i] = route.Candidate{
			Group:            record.Name,
			ReportedInFlight: evidence.InFlight,
			Slots:            evidence.Slots,
			ReportedAt:       evidence.ObservedAt,
		}
	}
	picked, ok := s.policy.Pick(j.prefixHash, candidates, s.tracker.Load)
	if !ok {
		return false
	}
	for _, record := range groups {
		if record.Name == picked.Group {
			j.request.Group = record.Name
			j.request.Generation = record.Generation
			s.assign(j, record.Name, record.HeadAddress())
		}
	}
	return true
}

// assign assigns a job to a backend server and takes a slot there.
func (s *Server) assign(j *job, name, address string) {
	j.request.Address = address
	j.assignedAddress.Store(&address)
	j.releaseSlot = s.tracker.Begin(name)
}

// maxInFlightPerServer is the maximum number of requests that one daemon has in flight
// at one server of a plain service.
const maxInFlightPerServer = 256

// pickServer assigns a job to the less loaded of two randomly chosen servers. It returns
// false if that one is full, or if none is live.
func (s *Server) pickServer(j *job) bool {
	servers := s.source.Snapshot().LiveServers(j.service, time.Now())
	if len(servers) == 0 {
		return false
	}
	first := servers[rand.IntN(len(servers))]
	second := servers[rand.IntN(len(servers))]
	if s.tracker.InFlight(second.ID) < s.tracker.InFlight(first.ID) {
		first = second
	}
	if s.tracker.InFlight(first.ID) >= maxInFlightPerServer {
		return false
	}
	s.assign(j, first.ID, first.Address)
	return true
}

// ----------------------------------------------------------------------------
// Idempotency keys

const (
	// claimTimeout limits claiming a key, finishTimeout updating a claim.
	claimTimeout  = 4 * time.Second
	finishTimeout = 10 * time.Second
)

// claimKey claims the key of a job, unless it has none or has claimed it already. It
// returns the stored answer if an earlier request with the key ran.
func (s *Server) claimKey(j *job) (*idempotency.Answer, *outcome.Failure) {
	if j.idempotencyKey == "" || j.claim != nil {
		return nil, nil
	}
	retention := s.source.Snapshot().Declaration().Limits.KeepKeys.Or(declaration.DefaultKeepKeys)
	ctx, cancel := context.WithTimeout(j.ctx, claimTimeout)
	defer cancel()
	claim, stored, refusal := s.claims.Claim(ctx, idempotency.ClaimName{
		Organisation: j.organisation.Name,
		Route:        j.request.Method + " " + j.request.Path,
		Key:          j.idempotencyKey,
	}, idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody(j.request.Body),
		Daemon:   s.source.ID(),
		Request:  j.id,
		Expires:  time.Now().Add(retention),
	})
	j.claim = claim
	return stored, refusal
}

// storeAnswer stores the answer of a job that has a claimed key. The caller does not
// wait for the store, but a stopping daemon does.
func (s *Server) storeAnswer(j *job, answer idempotency.Answer) {
	s.settleClaim(j, func(ctx context.Context, claim *idempotency.ActiveClaim) error {
		return s.claims.Complete(ctx, claim, answer)
	})
}

// settleFailedClaim releases the claim of a job that did not run, or marks the outcome as
// unknown.
func (s *Server) settleFailedClaim(j *job, failure *outcome.Failure) {
	if failure.Outcome == outcome.NotRun {
		s.settleClaim(j, s.claims.Release)
		return
	}
	s.settleClaim(j, s.claims.MarkUnknown)
}

// settleClaim updates the claim row of a job with write, in the background.
func (s *Server) settleClaim(j *job, write func(ctx context.Context, claim *idempotency.ActiveClaim) error) {
	claim := j.claim
	if claim == nil {
		return
	}
	j.claim = nil
	s.openCount.Add(1)
	go func() {
		defer s.openCount.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := write(ctx, claim); err != nil {
			s.log.Warn("callers: idempotency claim not updated", zap.String("request", j.id), zap.Error(err))
		}
	}()
}
