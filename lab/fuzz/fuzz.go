// Package fuzz fixes the seeds of stateful tests, so that a run in CI always
// reaches the same verdict. For fresh seeds, set HEADCOURSE_FUZZ_SEED to 0 or
// to a seed of one's own, HEADCOURSE_FUZZ_CHECKS to how many runs to make, and
// HEADCOURSE_FUZZ_STEPS to about how many actions each run takes.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Environment variables, and their defaults in CI.
const (
	seedVariable   = "HEADCOURSE_FUZZ_SEED"
	checksVariable = "HEADCOURSE_FUZZ_CHECKS"
	stepsVariable  = "HEADCOURSE_FUZZ_STEPS"
	defaultSeed    = "20261202"
	defaultChecks  = "60"
	defaultSteps   = "40"
)

// Main is to be called by TestMain of a package with stateful tests.
func Main(m *testing.M) int {
	set("rapid.seed", orDefault(seedVariable, defaultSeed))
	set("rapid.checks", orDefault(checksVariable, defaultChecks))
	set("rapid.steps", orDefault(stepsVariable, defaultSteps))
	set("rapid.nofailfile", "true")
	return m.Run()
}

// orDefault returns a variable's value, or a default.
func orDefault(variable, value string) string {
	if found := os.Getenv(variable); found != "" {
		return found
	}
	return value
}

// set sets a flag of the stateful test library, if it is linked in.
func set(name, value string) {
	if flag.Lookup(name) != nil {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// withoutDeadline is a test that has no deadline: the clock in a bubble is not
// the clock that deadlines are set by.
type withoutDeadline struct {
	rapid.TB
}

// Check runs a property on the paused clock.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{
			TB: t,
		}, property)
	})
}

// CheckSeed runs a property once, with the draws of one seed: of a case that broke it.
func CheckSeed(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	former := map[string]string{}
	for name, value := range map[string]string{
		"rapid.seed":   strconv.FormatUint(seed, 10),
		"rapid.checks": "1",
	} {
		former[name] = flag.Lookup(name).Value.String()
		set(name, value)
	}
	defer func() {
		for name, value := range former {
			set(name, value)
		}
	}()
	Check(t, property)
}

// Exit runs the tests of a package and ends the process, as TestMain does.
func Exit(m *testing.M) {
	os.Exit(Main(m))
}
