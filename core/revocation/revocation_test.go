package revocation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/revocation"
)

const bound = 5 * time.Second

func TestStrictPolicyRejectsKeysBeforeBound(t *testing.T) {
	policy := revocation.Policy{
		IsStrict: true,
		Bound:    bound,
	}
	qt.Assert(t, policy.MayAccept(bound-revocation.Margin-time.Millisecond), qt.IsTrue)
	qt.Assert(t, policy.MayAccept(bound-revocation.Margin), qt.IsFalse)
	qt.Assert(t, policy.MayAccept(time.Hour), qt.IsFalse)
}

func TestLenientPolicyAcceptsKeysOfStaleConfiguration(t *testing.T) {
	policy := revocation.Policy{
		Bound: bound,
	}
	qt.Assert(t, policy.MayAccept(time.Hour), qt.IsTrue)
	// It is not current, so no key or route is rejected as unknown.
	qt.Assert(t, policy.IsCurrent(time.Hour), qt.IsFalse)
	qt.Assert(t, policy.IsCurrent(time.Second), qt.IsTrue)
}
