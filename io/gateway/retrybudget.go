package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/retry"
)

// Prefixes of counter names, each completed by a service: retries that the budget of the service
// allowed, and those that it rejected.
const (
	countBudgetAllowed  = "retry_budget_allowed."
	countBudgetRejected = "retry_budget_rejected."
)

// payAttempt takes a retry from the retry budget if the next attempt needs one, and reports whether that attempt may be
// made.
func (j *job) payAttempt() bool {
	if !j.history.NeedsRetry() {
		return true
	}
	if !j.spendRetry() {
		return false
	}
	j.history.AddRetry()
	return true
}

// spendRetry takes one retry from the budget of the request's service and reports whether the
// budget had one.
func (j *job) spendRetry() bool {
	budget := j.server.budgets.ForName(j.service)
	isAllowed := budget.TrySpend()
	counter := countBudgetRejected
	if isAllowed {
		counter = countBudgetAllowed
	}
	metrics.GetOrRegisterCounter(counter+j.service, j.server.registry).Inc(1)
	j.logRetryDecision(budget.State(), isAllowed)
	return isAllowed
}

// logRetryDecision writes a line about a decision of the retry budget. The totals in a line count
// since the daemon's start, so they include decisions whose lines were suppressed.
func (j *job) logRetryDecision(state retry.State, isAllowed bool) {
	mayWrite, suppressed := j.server.retryThrottle.Allow(j.service)
	if !mayWrite {
		return
	}
	j.server.log.Info("clients: retry decided",
		zap.String("request_id", j.request.ID),
		zap.String("service", j.service),
		zap.Bool("is_allowed", isAllowed),
		zap.Float64("available", state.Available),
		zap.Float64("burst", state.Burst),
		zap.Int64("requests", state.Requests),
		zap.Int64("retries", state.Retries),
		zap.Int64("rejected", state.Rejected),
		zap.Int("lines_left_out", suppressed))
}
