package locality_test

import (
	"os"
	"testing"

	"headcourse/lab/fuzz"
)

// TestMain fixes the seeds of what is drawn.
func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}
