package confirmation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/confirmation"
)

const (
	applyBound      = 2 * time.Second
	revocationBound = 5 * time.Second
)

func TestStrictPolicyRejectsKeysBeforeBound(t *testing.T) {
	policy := confirmation.Policy{
		IsRevocationStrict: true,
		RevocationBound:    revocationBound,
	}
	qt.Assert(t, policy.MayAcceptKeys(revocationBound-confirmation.Margin-time.Millisecond), qt.IsTrue)
	qt.Assert(t, policy.MayAcceptKeys(revocationBound-confirmation.Margin), qt.IsFalse)
	qt.Assert(t, policy.MayAcceptKeys(time.Hour), qt.IsFalse)
}

func TestLenientPolicyAcceptsKeysOfStaleConfiguration(t *testing.T) {
	policy := confirmation.Policy{
		ApplyBound:      applyBound,
		RevocationBound: revocationBound,
	}
	qt.Assert(t, policy.MayAcceptKeys(time.Hour), qt.IsTrue)
	// It is not current, so no key or route is refused as unknown.
	qt.Assert(t, policy.MayRefuse(time.Hour), qt.IsFalse)
	qt.Assert(t, policy.MayRefuse(time.Millisecond), qt.IsTrue)
}

// Guards against a key or route that is refused by a configuration that may lack a change which must be in force,
// because the refusal is judged by the longer bound for withdrawn keys.
func TestNothingIsRefusedByConfigurationThatMayBeSuperseded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := confirmation.Policy{
			ApplyBound:         time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "apply bound")),
			RevocationBound:    time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "revocation bound")),
			IsRevocationStrict: rapid.Bool().Draw(t, "is strict"),
		}
		age := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
		// A feed may have missed changes for the margin before its answer.
		if policy.MayRefuse(age) && policy.MayBeSuperseded(age+confirmation.Margin) {
			t.Fatalf("refuses by a configuration of %s", age)
		}
	})
}
