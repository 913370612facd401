package standin

import (
	"strings"
	"time"

	"headcourse/lab/retryledger"
)

// The retry budget of each service, shared by all daemons. The settings of the daemons have it.
const (
	RetryShare  = 0.2
	RetryBurst  = 20
	RetryWindow = 10 * time.Second
)

// newRetryLedgers returns a ledger of retries for each service.
func newRetryLedgers() map[string]*retryledger.Ledger {
	ledgers := map[string]*retryledger.Ledger{}
	for _, service := range []string{ServicePlain, ServiceRare, ServiceModel} {
		ledgers[service] = &retryledger.Ledger{
			Share:  RetryShare,
			Burst:  RetryBurst,
			Window: RetryWindow,
		}
	}
	return ledgers
}

// Repeats returns how often requests for a service arrived again.
func (p *Platform) Repeats(service string) int {
	return p.retries[service].Repeats()
}

// RecordRequest records a request that a client sends on a route.
func (p *Platform) RecordRequest(path string) {
	for _, route := range initialConfig().Routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			p.retries[route.Service].RecordRequest()
			return
		}
	}
}

// retryViolations describes the worst window of each service that exceeds the retry budget.
func (p *Platform) retryViolations() []string {
	var violations []string
	for service, ledger := range p.retries {
		if worst, isViolated := ledger.Worst(); isViolated {
			violations = append(violations, service+" received "+worst.String())
		}
	}
	return violations
}
