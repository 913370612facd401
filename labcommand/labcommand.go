// Package labcommand is the command line of headcourse-lab: the stand-ins of
// the platform, the demo, load, and the measurements. Each command is a file
// and a row in CLI.
package labcommand

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// CLI is the lookup table of commands.
type CLI struct {
	Demo     DemoCommand     `cmd:"" help:"Play both deployments in one process, with failures, and check every answer."`
	Platform PlatformCommand `cmd:"" help:"Run the stand-ins of one deployment, for daemons in other processes."`
	Measures MeasuresCommand `cmd:"" help:"Compare group downtime and stranded accelerators with baselines, in virtual time."`
	Slopes   SlopesCommand   `cmd:"" help:"Measure what control costs a daemon at rest, before a platform in another process."`
	Relay    RelayCommand    `cmd:"" help:"Measure what a daemon adds to streams, against a direct connection."`
	Plot     PlotCommand     `cmd:"" help:"Draw columns of a measurement as SVG."`
	Days     DaysCommand     `cmd:"" help:"Write what the standard days of a site were worth, from the bench's journal."`
	Compare  CompareCommand  `cmd:"" help:"Compare runs of the same days and seeds that were made for two purposes, from the bench's journal."`
	Fleet    FleetCommand    `cmd:"" help:"Add up what the daemons of a fleet wrote: calls to the store, and how soon changes reached them."`
	Routes   RoutesCommand   `cmd:"" help:"Compare routing policies on the same load, in virtual time."`
	Load     LoadCommand     `cmd:"" help:"Send callers' load to daemons and check every answer."`
	Soak     SoakCommand     `cmd:"" help:"Play random faults against daemons that soak/run starts, and check every answer."`
}

// Streams are where a command writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main parses arguments, runs the command, and returns the exit code: 0 when
// it ended well, 1 when it failed or found a broken promise, 2 for a wrong
// command line.
func Main(arguments []string, out, errOut io.Writer) int {
	var cli CLI
	exited, exitCode := false, 0
	parser, err := kong.New(&cli,
		kong.Name("headcourse-lab"),
		kong.Description("Stand-ins of the platform, a demo, and measurements."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) {
			exited, exitCode = true, code
		}),
	)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "headcourse-lab: %s\n", err)
		return 2
	}
	context, err := parser.Parse(arguments)
	if exited {
		return exitCode
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "headcourse-lab: %s\n", err)
		return 2
	}
	if err = context.Run(&Streams{
		Out: out,
		Err: errOut,
	}); err != nil {
		_, _ = fmt.Fprintf(errOut, "headcourse-lab: %s\n", err)
		return 1
	}
	return 0
}

// newLog returns a log of lines at or above a level.
func newLog(level string, out io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewDevelopmentEncoderConfig()
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), zapcore.Lock(zapcore.AddSync(out)), parsed)), nil
}
