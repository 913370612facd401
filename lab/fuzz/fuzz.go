// Package fuzz fixes the seeds of stateful tests, so that runs in CI are reproducible. For
// other seeds, set HEADCOURSE_FUZZ_SEED to a seed, or to 0 for a random one.
// HEADCOURSE_FUZZ_CHECKS sets the number of runs, and HEADCOURSE_FUZZ_STEPS the approximate
// number of actions in each run.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Environment variables and their defaults in CI.
const (
	seedVariable   = "HEADCOURSE_FUZZ_SEED"
	checksVariable = "HEADCOURSE_FUZZ_CHECKS"
	stepsVariable  = "HEADCOURSE_FUZZ_STEPS"
	defaultSeed    = "20261202"
	defaultChecks  = "60"
	defaultSteps   = "40"
)

// Main sets the flags and runs the tests of a package. TestMain of a package with stateful
// tests calls it.
func Main(m *testing.M) int {
	setFlag("rapid.seed", envOr(seedVariable, defaultSeed))
	setFlag("rapid.checks", envOr(checksVariable, defaultChecks))
	setFlag("rapid.steps", envOr(stepsVariable, defaultSteps))
	setFlag("rapid.nofailfile", "true")
	return m.Run()
}

// envOr returns the value of an environment variable, or a default if it is unset or empty.
func envOr(variable, value string) string {
	if configured := os.Getenv(variable); configured != "" {
		return configured
	}
	return value
}

// setFlag sets a flag of package rapid, if the flag exists.
func setFlag(name, value string) {
	if flag.Lookup(name) != nil {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// withoutDeadline hides the deadline of a test from package rapid. The deadline is set by the
// real clock, which differs from the paused clock of a synctest bubble.
type withoutDeadline struct {
	rapid.TB
}

// Check checks a property on the paused clock.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{
			TB: t,
		}, property)
	})
}

// CheckSeed checks a property once with the seed of a case that failed before.
func CheckSeed(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	previous := map[string]string{}
	for name, value := range map[string]string{
		"rapid.seed":   strconv.FormatUint(seed, 10),
		"rapid.checks": "1",
	} {
		previous[name] = flag.Lookup(name).Value.String()
		setFlag(name, value)
	}
	defer func() {
		for name, value := range previous {
			setFlag(name, value)
		}
	}()
	Check(t, property)
}

// Exit runs the tests of a package and exits with their result, for use in TestMain.
func Exit(m *testing.M) {
	os.Exit(Main(m))
}
