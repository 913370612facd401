package subset_test

import (
	"testing"

	"headcourse/lab/fuzz"
)

// TestMain fixes the seeds of what is drawn.
func TestMain(m *testing.M) {
	fuzz.Exit(m)
}
