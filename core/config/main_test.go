package config_test

import (
	"testing"

	"headcourse/lab/fuzz"
)

// TestMain fixes the seeds of the property tests.
func TestMain(m *testing.M) {
	fuzz.Exit(m)
}
