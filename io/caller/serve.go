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

// maxTries bounds how often one request is sent.
const maxTries = 3

// handleCompletion serves a chat completion.
func (s *Server) handleCompletion(c fiber.Ctx) error {
	made, refusal := s.newJob(c)
	if refusal == nil {
		refusal = s.readCompletion(made)
	}
	return s.run(c, made, refusal)
}

// handleService serves a request to a plain service.
func (s *Server) handleService(c fiber.Ctx) error {
	made, refusal := s.newJob(c)
	if refusal == nil {
		refusal = s.readService(c, made)
	}
	return s.run(c, made, refusal)
}

// readService finds the service that a request is for.
func (s *Server) readService(c fiber.Ctx, made *job) *outcome.Failure {
	service, ok := s.source.Snapshot().Declaration().ServiceFor(made.call.Path)
	if !ok {
		return outcome.Refuse(outcome.ReasonUnknownRoute, "find service")
	}
	made.service = service.Name
	isSafe := made.call.Method != fiber.MethodPost && made.call.Method != fiber.MethodPatch
	made.repeatable = made.repeatable && isSafe && service.Repeatable(made.call.Method, made.call.Path)
	if accept := c.Get(fiber.HeaderAccept); accept != "" {
		made.call.Headers = append(made.call.Headers, [2]string{fiber.HeaderAccept, string([]byte(accept))})
	}
	return nil
}

// run serves a job to its end, or gives its refusal.
func (s *Server) run(c fiber.Ctx, made *job, refusal *outcome.Failure) error {
	s.open.Add(1)
	forget := s.gone.Watch(c.RequestCtx().Conn(), func() {
		made.isGone.Store(true)
		if made.cancel != nil {
			made.cancel()
		}
		s.cancelWork(made)
	})
	made.done = sync.OnceFunc(func() {
		forget()
		s.open.Add(-1)
	})
	if refusal != nil {
		made.finish()
		return s.refuse(c, made.id, refusal)
	}
	s.budget.Earn()
	reply, failure := s.attempt(made)
	return s.conclude(c, made, reply, failure)
}

// conclude gives the caller what became of a job.
func (s *Server) conclude(c fiber.Ctx, made *job, reply engine.Reply, failure *outcome.Failure) error {
	if failure != nil {
		if made.mayHaveRun {
			failure.Outcome = outcome.Unknown
		}
		s.settleFailure(made, failure)
		made.finish()
		return s.refuse(c, made.id, failure)
	}
	if reply.Stream != nil {
		return s.startRelay(c, made, reply)
	}
	s.keepAnswer(made, idempotency.Answer{
		Status:      reply.Status,
		ContentType: reply.ContentType,
		Body:        reply.Body,
	})
	made.finish()
	return s.answer(c, made.id, reply)
}

// attempt sends a job until it is answered, it fails, or no retry is allowed.
func (s *Server) attempt(made *job) (engine.Reply, *outcome.Failure) {
	for {
		reply, failure := s.attemptOnce(made)
		if failure == nil || !s.mayRetry(made, failure) {
			return reply, failure
		}
	}
}

// mayRetry tells whether a failed job may be sent again: it was not run, or it
// may be run twice; and the budget allows. The retry is counted.
func (s *Server) mayRetry(made *job, failure *outcome.Failure) bool {
	switch failure.Reason {
	case outcome.ReasonConnect, outcome.ReasonEngineRefused, outcome.ReasonEngineBusy, outcome.ReasonConnectionLost:
	default:
		return false
	}
	if failure.Outcome != outcome.NotRun && !made.repeatable {
		return false
	}
	if made.tries >= maxTries || made.ctx.Err() != nil {
		return false
	}
	if !s.budget.Spend() {
		s.count(counterRefusal + string(outcome.ReasonRetryBudget))
		return false
	}
	s.count(counterRetry + string(failure.Reason))
	s.log.Debug("callers: trying again", zap.String("request", made.id), zap.Error(failure))
	if failure.Outcome != outcome.NotRun {
		made.mayHaveRun = true
		s.cancelWork(made)
	}
	return true
}

// attemptOnce waits for a place, claims the key, and sends the job.
func (s *Server) attemptOnce(made *job) (engine.Reply, *outcome.Failure) {
	made.tries++
	if refusal := s.admit(made); refusal != nil {
		return engine.Reply{}, refusal
	}
	if kept, refusal := s.claim(made); refusal != nil || kept != nil {
		s.endPlaces(made)
		if refusal != nil {
			return engine.Reply{}, refusal
		}
		s.count(counterReplay)
		return engine.Reply{
			Status:      kept.Status,
			ContentType: kept.ContentType,
			Body:        kept.Body,
		}, nil
	}
	made.call.Once = !made.repeatable
	reply, failure := s.send(made)
	if failure != nil {
		s.endPlaces(made)
		s.noteRefusal(made, failure)
	}
	return reply, failure
}

// noteRefusal remembers that a group was just found not to serve. Its word is
// newer than the evidence that it was whole, which is then no longer believed.
func (s *Server) noteRefusal(made *job, failure *outcome.Failure) {
	isRefused := failure.Reason == outcome.ReasonEngineRefused || failure.Reason == outcome.ReasonConnect
	if isRefused && made.call.Group != "" {
		evidence, _ := s.source.Snapshot().Book.Newest(made.call.Group)
		s.refused.Store(made.call.Group, evidence.At)
	}
}

// endPlaces gives back a job's place at a backend server and in the queue.
func (s *Server) endPlaces(made *job) {
	made.endSlot()
	made.endPlace()
}

// sent is the outcome of a send.
type sent struct {
	reply engine.Reply
	err   error
}

// send hands the job over and waits for the answer, or for its deadline, or
// for the caller to go away. It never waits longer than that.
func (s *Server) send(made *job) (engine.Reply, *outcome.Failure) {
	if made.ctx.Err() != nil {
		return engine.Reply{}, s.endedBefore(made)
	}
	call := made.call
	results := make(chan sent, 1)
	go func() {
		reply, err := s.source.Engines().Send(call)
		results <- sent{
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
	case <-made.ctx.Done():
		s.cancelWork(made)
		go discard(results)
		return engine.Reply{}, s.endedDuring(made)
	}
}

// discard closes the answer that nobody waits for any more.
func discard(results <-chan sent) {
	result := <-results
	if result.reply.Stream != nil {
		result.reply.Stream.Close()
	}
}

// endedBefore returns the failure of a job that ended before it was sent.
func (s *Server) endedBefore(made *job) *outcome.Failure {
	if made.isGone.Load() {
		return outcome.Refuse(outcome.ReasonCallerGone, "send request")
	}
	return outcome.Refuse(outcome.ReasonQueueDeadline, "send request")
}

// endedDuring returns the failure of a job that ended while it was run.
func (s *Server) endedDuring(made *job) *outcome.Failure {
	reason := outcome.ReasonDeadline
	if made.isGone.Load() {
		reason = outcome.ReasonCallerGone
	}
	return &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  reason,
		Step:    "wait for answer",
		Peer:    made.call.Address,
	}
}

// cancelWork tells the engine that nobody waits for the answer any more.
func (s *Server) cancelWork(made *job) {
	if address := made.server.Load(); address != nil && made.model != "" {
		go s.source.Engines().Cancel(*address, made.id)
	}
}

// ----------------------------------------------------------------------------
// Admission and routing

// admit waits until the job has a place at a backend server.
func (s *Server) admit(made *job) *outcome.Failure {
	snapshot := s.source.Snapshot()
	if refusal := s.hopeless(made); refusal != nil {
		return refusal
	}
	wait := snapshot.Declaration().Limits.QueueWait.Or(declaration.DefaultQueueWait)
	ctx, cancel := context.WithTimeout(made.ctx, wait)
	defer cancel()
	release, refusal := s.queue.Admit(ctx, admission.Request{
		Organisation: made.organisation,
		Pool:         made.model + "/" + made.service,
		Priority:     made.priority,
		Daemons:      snapshot.Daemons,
		Try: func() bool {
			return s.choose(made)
		},
	})
	if refusal != nil {
		if made.isGone.Load() {
			refusal.Reason = outcome.ReasonCallerGone
		}
		return refusal
	}
	made.endPlace = release
	return nil
}

// hopeless refuses a job at once when nothing can take it: there is no whole
// group, or no live server, and waiting in a queue would only hide that.
func (s *Server) hopeless(made *job) *outcome.Failure {
	snapshot := s.source.Snapshot()
	if made.model != "" && len(s.believed(snapshot, made.model)) == 0 {
		return outcome.Refuse(outcome.ReasonNoGroup, "choose group")
	}
	if made.service != "" && len(snapshot.Servers(made.service, time.Now())) == 0 {
		return outcome.Refuse(outcome.ReasonNoServer, "choose server")
	}
	return nil
}

// believed returns the groups of a model that may take a request, but for those
// that have themselves disproved the evidence that they are whole.
func (s *Server) believed(snapshot *control.Snapshot, model string) []group.Record {
	groups := snapshot.Serveable(model, time.Now())
	return slices.DeleteFunc(groups, func(record group.Record) bool {
		evidence, _ := snapshot.Book.Newest(record.Name)
		disproved, ok := s.refused.Load(record.Name)
		return ok && disproved == evidence.At
	})
}

// choose picks a backend server for a job and takes a place there.
func (s *Server) choose(made *job) bool {
	if made.service != "" {
		return s.chooseServer(made)
	}
	snapshot := s.source.Snapshot()
	if time.Now().After(snapshot.ServeUntil) {
		return false
	}
	groups := s.believed(snapshot, made.model)
	candidates := make([]route.Candidate, len(groups))
	for i, record := range groups {
		evidence, _ := snapshot.Book.Newest(record.Name)
		candidates[i] = route.Candidate{
			Group:      record.Name,
			Reported:   evidence.InFlight,
			Slots:      evidence.Slots,
			ReportedAt: evidence.At,
		}
	}
	picked, ok := s.policy.Pick(made.prefix, candidates, s.tracker.Load)
	if !ok {
		return false
	}
	for _, record := range groups {
		if record.Name == picked.Group {
			made.call.Group = record.Name
			made.call.Generation = record.Generation
			s.assign(made, record.Name, record.Leader())
		}
	}
	return true
}

// assign notes where a job goes and takes a place there.
func (s *Server) assign(made *job, name, address string) {
	made.call.Address = address
	made.server.Store(&address)
	made.endSlot = s.tracker.Begin(name)
}

// serverSlots bounds what one daemon has in flight at one plain server.
const serverSlots = 256

// chooseServer picks the less loaded of two servers chosen at random.
func (s *Server) chooseServer(made *job) bool {
	servers := s.source.Snapshot().Servers(made.service, time.Now())
	if len(servers) == 0 {
		return false
	}
	first := servers[rand.IntN(len(servers))]
	second := servers[rand.IntN(len(servers))]
	if s.tracker.InFlight(second.ID) < s.tracker.InFlight(first.ID) {
		first = second
	}
	if s.tracker.InFlight(first.ID) >= serverSlots {
		return false
	}
	s.assign(made, first.ID, first.Address)
	return true
}

// ----------------------------------------------------------------------------
// Idempotency keys

// Times of claims.
const (
	claimTimeout  = 4 * time.Second
	finishTimeout = 10 * time.Second
)

// claim claims a job's key, once. It returns an answer that is kept already.
func (s *Server) claim(made *job) (*idempotency.Answer, *outcome.Failure) {
	if made.key == "" || made.held != nil {
		return nil, nil
	}
	keep := s.source.Snapshot().Declaration().Limits.KeepKeys.Or(declaration.DefaultKeepKeys)
	ctx, cancel := context.WithTimeout(made.ctx, claimTimeout)
	defer cancel()
	held, kept, refusal := s.keeper.Take(ctx, idempotency.Name{
		Organisation: made.organisation.Name,
		Route:        made.call.Method + " " + made.call.Path,
		Key:          made.key,
	}, idempotency.Claim{
		State:    idempotency.Running,
		BodyHash: idempotency.HashBody(made.call.Body),
		Daemon:   s.source.ID(),
		Request:  made.id,
		Expires:  time.Now().Add(keep),
	})
	made.held = held
	return kept, refusal
}

// keepAnswer keeps the answer of a job whose key was claimed. The caller does
// not wait for the store; a stopping daemon does.
func (s *Server) keepAnswer(made *job, answer idempotency.Answer) {
	s.settle(made, func(ctx context.Context, held *idempotency.Held) error {
		return s.keeper.Finish(ctx, held, answer)
	})
}

// settleFailure frees or marks the claim of a job that failed.
func (s *Server) settleFailure(made *job, failure *outcome.Failure) {
	if failure.Outcome == outcome.NotRun {
		s.settle(made, s.keeper.Free)
		return
	}
	s.settle(made, s.keeper.Lose)
}

// settle writes the end of a claim, in the background.
func (s *Server) settle(made *job, write func(ctx context.Context, held *idempotency.Held) error) {
	held := made.held
	if held == nil {
		return
	}
	made.held = nil
	s.open.Add(1)
	go func() {
		defer s.open.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := write(ctx, held); err != nil {
			s.log.Warn("callers: claim not settled", zap.String("request", made.id), zap.Error(err))
		}
	}()
}
