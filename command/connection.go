package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/io/operator"
)

// Connection holds the flags of the commands that connect to a daemon.
type Connection struct {
	Daemon string `name:"daemon" env:"HEADCOURSE_DAEMON" default:"127.0.0.1:8081" help:"IP:port for operators of any daemon."`
	Key    string `name:"key" env:"HEADCOURSE_KEY" required:"" help:"The operator's key; prefer the variable."`
	Output string `name:"output" env:"HEADCOURSE_OUTPUT" default:"table" enum:"table,json" help:"Output format: ${enum}."`
}

// client returns a client for the daemon.
func (c Connection) client() *operator.Client {
	return operator.NewClient(c.Daemon, c.Key)
}

// print writes a value as JSON, or calls writeTable to write it as a table with
// tab-separated cells.
func (c Connection) print(out io.Writer, value any, writeTable func(table io.Writer)) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write output")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeTable(table)
	return errors.Wrap(table.Flush(), "write output")
}

// writeRow writes one row of a table.
func writeRow(table io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(table, strings.Join(texts, "\t"))
}

// readFiles reads declaration files; the name "-" is standard input.
func readFiles(names []string, in io.Reader) ([]declaration.File, error) {
	files := make([]declaration.File, 0, len(names))
	for _, name := range names {
		var content []byte
		var err error
		if name == "-" {
			content, err = io.ReadAll(in)
		} else {
			content, err = os.ReadFile(name) //nolint:gosec // the operator names the file
		}
		if err != nil {
			return nil, usageError{
				cause: errors.Wrap(err, "read declaration"),
			}
		}
		files = append(files, declaration.File{
			Name:    name,
			Content: content,
		})
	}
	return files, nil
}
