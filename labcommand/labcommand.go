// Package labcommand is the command line of headcourse-lab, which runs the
// stand-ins of the platform, the demo, the load generator and the measurements.
// Each command has its own file and a field in CLI.
package labcommand

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// CLI lists the commands. kong derives the names of commands from the names of
// the fields.
type CLI struct {
	Demo     DemoCommand     `cmd:"" help:"Play both deployments in one process, with failures, and check every answer."`
	Platform PlatformCommand `cmd:"" help:"Run the stand-ins of one deployment, for daemons in other processes."`
	Measures MeasuresCommand `cmd:"" help:"Compare group downtime and stranded accelerators with baselines, in virtual time."`
	Slopes   SlopesCommand   `cmd:"" help:"Measure the resources that control uses in an idle daemon, with a platform in another process."`
	Relay    RelayCommand    `cmd:"" help:"Measure the latency that a daemon adds to streams, compared with a direct connection."`
	Plot     PlotCommand     `cmd:"" help:"Draw columns of a measurement as SVG."`
	Days     DaysCommand     `cmd:"" help:"Write the net value of the standard days of a site, from the bench's journal."`
	Compare  CompareCommand  `cmd:"" help:"Compare runs of the same days and seeds that were made for two purposes, from the bench's journal."`
	Fleet    FleetCommand    `cmd:"" help:"Summarise the logs of a fleet's daemons: calls to the store, and when changes reached them."`
	Routes   RoutesCommand   `cmd:"" help:"Compare routing policies on the same load, in virtual time."`
	Load     LoadCommand     `cmd:"" help:"Send callers' load to daemons and check every answer."`
	Daemon   DaemonCommand   `cmd:"" help:"Run a daemon on an entry VM whose links to backend servers have the fault that a file names."`
	Soak     SoakCommand     `cmd:"" help:"Inject random faults into daemons that soak/run starts, and check every answer."`

	ServerSockets ServerSocketsCommand `cmd:"" help:"Run the sockets of backend servers of a soak in a process of its own, which signals stop and continue."`
}

// Streams are the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main parses the arguments, runs the command and returns the exit code: 0 for
// success, 1 if the command failed or found a violated guarantee, and 2 for an
// invalid command line.
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
	kongContext, err := parser.Parse(arguments)
	if exited {
		return exitCode
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "headcourse-lab: %s\n", err)
		return 2
	}
	if err = kongContext.Run(&Streams{
		Out: out,
		Err: errOut,
	}); err != nil {
		_, _ = fmt.Fprintf(errOut, "headcourse-lab: %s\n", err)
		return 1
	}
	return 0
}

// newLogger returns a logger that writes lines at or above a level.
func newLogger(level string, out io.Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewDevelopmentEncoderConfig()
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(encoderConfig), zapcore.Lock(zapcore.AddSync(out)), minLevel)), nil
}
