package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/config"
	"headcourse/core/retry"
	"headcourse/platform/wire"
)

// noRetries returns budgets that pay for no retry.
func noRetries() *retry.Budgets {
	const share, burst = 0.01, 0.1
	budgets := &retry.Budgets{}
	budgets.SetFigures(share, burst, time.Minute)
	return budgets
}

// A request was refused after one send although other servers were free, and its line did
// not say that the retry budget was the cause: of 734 such on one day only the counter told.
func TestLineSaysThatTheRetryBudgetWasSpent(t *testing.T) {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(full.Close)
	address := full.Listener.Addr().String()
	core, logs := observer.New(zap.InfoLevel)
	used := options(newSource(someServers(config.Safe, address, address)))
	used.Budgets = noRetries()
	used.Log = zap.New(core)
	server := start(t, used)

	status, _ := ask(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	lines := logs.FilterMessage("clients: request ended").All()
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Assert(t, lines[0].ContextMap()["retry_budget_spent"], qt.Equals, true)
}

// A slow server was silent for longer than servers are; its stream was broken off to go
// on elsewhere, and there was no retry left in the budget for that.
func TestSilentServerIsNotGivenUpWithoutARetryLeft(t *testing.T) {
	// Longer than any silence after which a request is moved.
	const silence = 1600 * time.Millisecond
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		time.Sleep(silence)
		_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
		qt.Check(t, err, qt.IsNil)
	}))
	t.Cleanup(slow.Close)
	address := slow.Listener.Addr().String()
	used := options(newSource(someServers(config.Stream, address, address)))
	used.Budgets = noRetries()
	server := start(t, used)
	status, _ := ask(t, server.Address(), "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}
