package labcommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/labcommand"
)

// runCompare runs the compare command on the test entries of package journal and
// returns its exit code and output.
func runCompare(arguments ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = labcommand.Main(append([]string{"compare", "--journal", journalFolder}, arguments...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestComparePairsRunsOfTwoPurposes(t *testing.T) {
	code, out, errOut := runCompare("--before", "baseline", "--after", "after, a change")
	qt.Assert(t, errOut, qt.Equals, "")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Equals, ""+
		"site   day        seed  before  after  difference\n"+
		"river  quiet-1    3     0.800   0.900  +0.100\n"+
		"river  trouble-1  5     0.500   0.700  +0.200\n"+
		"\n"+
		"site   pairs  before  after  difference  standard error  verdict\n"+
		"river  2      0.650   0.800  +0.1500     0.0500          better\n")
}

func TestCompareWritesCSVAndSVG(t *testing.T) {
	code, out, _ := runCompare("--before", "baseline", "--after", "after, a change", "--as", "csv")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Equals, "site,day,seed,before,after,difference\n"+
		"river,quiet-1,3,0.800,0.900,0.100\n"+
		"river,trouble-1,5,0.500,0.700,0.200\n")
	code, out, _ = runCompare("--before", "baseline", "--after", "after, a change", "--as", "svg")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, "<circle")
}

func TestCompareFailsIfNoRunOrCommonDayMatches(t *testing.T) {
	code, _, errOut := runCompare("--before", "baseline", "--after", "nothing")
	qt.Assert(t, code, qt.Equals, 1)
	qt.Assert(t, errOut, qt.Matches, `headcourse-lab: --after: the journal .* has no run of "any site" for "nothing"\n`)
	code, _, errOut = runCompare("--before", "baseline", "--after", "one day")
	qt.Assert(t, code, qt.Equals, 1)
	qt.Assert(t, errOut, qt.Matches, `headcourse-lab: --before, --after: no day was played with the same seed .*\n`)
	code, _, errOut = runCompare("--site", "lake", "--before", "baseline", "--after", "one day")
	qt.Assert(t, code, qt.Equals, 1)
	qt.Assert(t, errOut, qt.Matches, `headcourse-lab: --before: .* has no run of "lake" for "baseline"\n`)

	folder := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(folder, "bad.json"), []byte("{"), 0o600), qt.IsNil)
	var out, stderr bytes.Buffer
	code = labcommand.Main([]string{"compare", "--journal", folder, "--before", "a", "--after", "b"}, &out, &stderr)
	qt.Assert(t, code, qt.Equals, 1)
	qt.Assert(t, stderr.String(), qt.Matches, "headcourse-lab: decode journal entry bad.json: .*\n")
}
