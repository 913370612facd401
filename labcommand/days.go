package labcommand

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"headcourse/platform/journal"
)

// DaysCommand writes the net value of a site's standard days in each score run, as
// comma-separated values that the plot command reads.
type DaysCommand struct {
	Journal string `default:"journal" help:"Folder of the bench's journal."`
	Site    string `required:"" help:"Site whose scores are written."`
}

// Run writes a row for each score run of the site.
func (d *DaysCommand) Run(streams *Streams) error {
	runs, err := journal.Read(d.Journal)
	if err != nil {
		return err
	}
	scoreRuns := slices.DeleteFunc(runs, func(run journal.Run) bool {
		return run.Site != d.Site || !run.HasStandardDays || len(run.Days) == 0
	})
	if len(scoreRuns) == 0 {
		return errors.Errorf("--site: the journal %s has no score of %q", d.Journal, d.Site)
	}
	return writeDays(streams.Out, scoreRuns)
}

// writeDays writes a row for each score run that has all standard days of the
// latest one. It leaves out other runs. The runs are ordered by time.
func writeDays(out io.Writer, scoreRuns []journal.Run) error {
	dayNames := standardDayNames(scoreRuns[len(scoreRuns)-1])
	writer := csv.NewWriter(out)
	rows := [][]string{slices.Concat([]string{"run", "id", "mean"}, dayNames, []string{"purpose"})}
	for _, scoreRun := range scoreRuns {
		if row, ok := scoreRow(len(rows), scoreRun, dayNames); ok {
			rows = append(rows, row)
		}
	}
	return errors.Wrap(writer.WriteAll(rows), "write days")
}

// standardDayNames returns the names of a run's standard days in alphabetical order.
func standardDayNames(run journal.Run) []string {
	var names []string
	for _, day := range run.Days {
		if day.IsStandard() {
			names = append(names, day.Name)
		}
	}
	slices.Sort(names)
	return names
}

// scoreRow returns the row of a score run, or false if the run lacks one of the
// days.
func scoreRow(runNumber int, scoreRun journal.Run, dayNames []string) ([]string, bool) {
	netValueByDay := map[string]float64{}
	for _, day := range scoreRun.Days {
		netValueByDay[day.Name] = day.NetValue
	}
	sum := 0.0
	var cells []string
	for _, name := range dayNames {
		netValue, ok := netValueByDay[name]
		if !ok {
			return nil, false
		}
		sum += netValue
		cells = append(cells, formatNetValue(netValue))
	}
	mean := formatNetValue(sum / float64(len(dayNames)))
	return slices.Concat([]string{strconv.Itoa(runNumber), scoreRun.ID, mean}, cells, []string{scoreRun.Purpose}), true
}

// formatNetValue formats a net value with the three decimals of all tables.
func formatNetValue(value float64) string {
	return strconv.FormatFloat(value, 'f', 3, 64)
}
