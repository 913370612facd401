package labcommand_test

import (
	"bytes"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/labcommand"
)

// journalFolder holds the test entries of package journal.
var journalFolder = filepath.Join("..", "platform", "journal", "testdata")

func TestDaysWritesOneRowPerScore(t *testing.T) {
	var out, errOut bytes.Buffer
	code := labcommand.Main([]string{"days", "--journal", journalFolder, "--site", "river"}, &out, &errOut)
	qt.Assert(t, errOut.String(), qt.Equals, "")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out.String(), qt.Equals, "run,id,mean,quiet-1,trouble-1,purpose\n"+
		"1,aaaa0001,0.650,0.800,0.500,baseline\n"+
		"2,aaaa0002,0.800,0.900,0.700,\"after, a change\"\n")
}

func TestDaysFailsForUnknownSite(t *testing.T) {
	var out, errOut bytes.Buffer
	code := labcommand.Main([]string{"days", "--journal", journalFolder, "--site", "lake"}, &out, &errOut)
	qt.Assert(t, code, qt.Equals, 1)
	qt.Assert(t, errOut.String(), qt.Matches, "headcourse-lab: --site: the journal .* has no score of \"lake\"\n")
}
