package labcommand

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"headcourse/lab/comparison"
	"headcourse/platform/journal"
)

// CompareCommand compares the runs of two purposes, paired by site, day and seed.
type CompareCommand struct {
	Journal string `default:"journal" help:"Folder of the bench's journal."`
	Before  string `required:"" help:"Purpose of the runs to compare with, as the journal has it."`
	After   string `required:"" help:"Purpose of the runs that are compared."`
	Site    string `help:"Site whose runs are compared; all sites by default."`
	As      string `default:"text" enum:"text,csv,svg" help:"Output format: text, csv, or svg, a plot of the net values before and after."`
}

// Run writes the pairs. As text it adds a summary with a verdict for each site.
func (c *CompareCommand) Run(streams *Streams) error {
	runs, err := journal.Read(c.Journal)
	if err != nil {
		return err
	}
	before, err := c.daysForPurpose(runs, "--before", c.Before)
	if err != nil {
		return err
	}
	after, err := c.daysForPurpose(runs, "--after", c.After)
	if err != nil {
		return err
	}
	pairs := comparison.Pairs(before, after)
	if len(pairs) == 0 {
		return errors.Errorf("--before, --after: no day was played with the same seed for both %q and %q", c.Before, c.After)
	}
	writers := map[string]func(io.Writer, []comparison.Pair) error{
		"text": writePairsText,
		"csv":  writePairsCSV,
		"svg":  plotPairs,
	}
	return writers[c.As](streams.Out, pairs)
}

// daysForPurpose returns the days of all runs with a purpose, at c.Site if it is
// set. Errors begin with the flag that gave the purpose.
func (c *CompareCommand) daysForPurpose(runs []journal.Run, flag, purpose string) ([]comparison.DayRun, error) {
	var days []comparison.DayRun
	for _, run := range runs {
		if run.Purpose != purpose || (c.Site != "" && run.Site != c.Site) {
			continue
		}
		for _, day := range run.Days {
			days = append(days, comparison.DayRun{
				Site:     run.Site,
				Name:     day.Name,
				Seed:     day.Seed,
				NetValue: day.NetValue,
			})
		}
	}
	if len(days) == 0 {
		return nil, errors.Errorf("%s: the journal %s has no run of %q for %q", flag, c.Journal, siteLabel(c.Site), purpose)
	}
	return days, nil
}

// siteLabel returns the name of a site for messages.
func siteLabel(site string) string {
	if site == "" {
		return "any site"
	}
	return site
}

// writePairsText writes a table of the pairs, and one of summaries: a row for each
// site, and one for all pairs if there are several sites.
func writePairsText(out io.Writer, pairs []comparison.Pair) error {
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(table, "site\tday\tseed\tbefore\tafter\tdifference")
	for _, pair := range pairs {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f\n", pair.Site, pair.Name, pair.Seed, pair.Before, pair.After, pair.Difference())
	}
	_, _ = fmt.Fprintln(table, "\nsite\tpairs\tbefore\tafter\tdifference\tstandard error\tverdict")
	sites := sortedSites(pairs)
	for _, site := range sites {
		writeSummary(table, site, pairsForSite(pairs, site))
	}
	if len(sites) > 1 {
		writeSummary(table, "all", pairs)
	}
	return errors.Wrap(table.Flush(), "write comparison")
}

// writeSummary writes the summary of pairs as a table row.
func writeSummary(out io.Writer, name string, pairs []comparison.Pair) {
	summary := comparison.Summarise(pairs)
	_, _ = fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%s\n", name, summary.Pairs, summary.Before, summary.After, summary.Difference, summary.Error, summary.Verdict())
}

// sortedSites returns the distinct sites of pairs in alphabetical order.
func sortedSites(pairs []comparison.Pair) []string {
	var sites []string
	for _, pair := range pairs {
		sites = append(sites, pair.Site)
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

// pairsForSite returns the pairs of one site.
func pairsForSite(pairs []comparison.Pair, site string) []comparison.Pair {
	var selected []comparison.Pair
	for _, pair := range pairs {
		if pair.Site == site {
			selected = append(selected, pair)
		}
	}
	return selected
}

// writePairsCSV writes the pairs as comma-separated values.
func writePairsCSV(out io.Writer, pairs []comparison.Pair) error {
	rows := [][]string{
		{
			"site",
			"day",
			"seed",
			"before",
			"after",
			"difference",
		},
	}
	for _, pair := range pairs {
		rows = append(rows, []string{
			pair.Site,
			pair.Name,
			strconv.FormatInt(pair.Seed, 10),
			formatNetValue(pair.Before),
			formatNetValue(pair.After),
			formatNetValue(pair.Difference()),
		})
	}
	return errors.Wrap(csv.NewWriter(out).WriteAll(rows), "write comparison")
}

// plotPairs writes a plot of the net value after against the net value before, with a
// point for each pair.
func plotPairs(out io.Writer, pairs []comparison.Pair) error {
	var points []point
	for _, pair := range pairs {
		points = append(points, point{
			x: pair.Before,
			y: pair.After,
		})
	}
	return writePlot(out, "net value before", "net value after", points)
}
