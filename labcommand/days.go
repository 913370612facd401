package labcommand

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"headcourse/platform/journal"
)

// DaysCommand writes what the standard days of a site were worth, score by score,
// as comma-separated values that plot draws.
type DaysCommand struct {
	Journal string `default:"journal" help:"Folder of the bench's journal."`
	Site    string `required:"" help:"Site whose scores are written."`
}

// Run writes a row for each score.
func (d *DaysCommand) Run(streams *Streams) error {
	runs, err := journal.Read(d.Journal)
	if err != nil {
		return err
	}
	scores := slices.DeleteFunc(runs, func(run journal.Run) bool {
		return run.Site != d.Site || !run.IsScore || len(run.Days) == 0
	})
	if len(scores) == 0 {
		return errors.Errorf("--site: the journal %s has no score of %q", d.Journal, d.Site)
	}
	return writeDays(streams.Out, scores)
}

// writeDays writes the scores that played all days of the last one.
func writeDays(out io.Writer, scores []journal.Run) error {
	names := standardDays(scores[len(scores)-1])
	writer := csv.NewWriter(out)
	rows := [][]string{slices.Concat([]string{"run", "id", "mean"}, names, []string{"purpose"})}
	for _, score := range scores {
		if row, ok := dayRow(len(rows), score, names); ok {
			rows = append(rows, row)
		}
	}
	return errors.Wrap(writer.WriteAll(rows), "write days")
}

// standardDays returns the names of a run's standard days, ordered.
func standardDays(run journal.Run) []string {
	var names []string
	for _, day := range run.Days {
		if day.IsStandard() {
			names = append(names, day.Name)
		}
	}
	slices.Sort(names)
	return names
}

// dayRow returns the row of one score, and whether it played all days.
func dayRow(number int, score journal.Run, names []string) ([]string, bool) {
	worth := map[string]float64{}
	for _, day := range score.Days {
		worth[day.Name] = day.Worth
	}
	sum := 0.0
	var cells []string
	for _, name := range names {
		value, ok := worth[name]
		if !ok {
			return nil, false
		}
		sum += value
		cells = append(cells, formatWorth(value))
	}
	mean := formatWorth(sum / float64(len(names)))
	return slices.Concat([]string{strconv.Itoa(number), score.ID, mean}, cells, []string{score.Purpose}), true
}

// formatWorth returns a worth as it stands in tables.
func formatWorth(value float64) string {
	return strconv.FormatFloat(value, 'f', 3, 64)
}
