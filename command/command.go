// Package command is the command line of headcourse. Each command has its own
// file, which declares its arguments and flags before its Run method, and a field
// in CLI.
//
// Commands that change or show the fleet connect to one daemon, which may be any
// daemon. Output is written as a table or as JSON. The exit code gives the
// outcome:
//
//	0  done
//	1  refused, or failed with nothing changed
//	2  the command line or a setting is wrong
//	3  stored, but not accepted by a majority of the daemons yet
//	4  outcome unknown; check the state before another try
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"headcourse/core/table"
	"headcourse/io/operator"
)

// Exit codes, as listed in the package comment.
const (
	ExitSuccess        = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitNotAccepted    = 3
	ExitOutcomeUnknown = 4
)

// CLI lists the commands. kong derives the names of commands from the names of
// the fields.
type CLI struct {
	Serve    ServeCommand    `cmd:"" help:"Run a daemon."`
	Entry    EntryCommand    `cmd:"" help:"Run a daemon on an entry VM of the platform."`
	Check    CheckCommand    `cmd:"" help:"Check declaration files without a daemon."`
	Apply    ApplyCommand    `cmd:"" help:"Make declaration files the next revision of the configuration."`
	Diff     DiffCommand     `cmd:"" help:"Show the differences between declaration files and the revision in force."`
	Plan     PlanCommand     `cmd:"" help:"Propose a plan for an intent; show, pause, resume or abandon plans."`
	Confirm  ConfirmCommand  `cmd:"" help:"Confirm a proposed plan."`
	Status   StatusCommand   `cmd:"" help:"Show daemons, leases and zones."`
	Groups   GroupsCommand   `cmd:"" help:"Show the serving groups."`
	Counters CountersCommand `cmd:"" help:"Show a daemon's counters, or with --list all reasons that are counted."`
	Load     LoadCommand     `cmd:"" help:"Show demand and overload of all daemons as one entry daemon knows them."`
	HashKey  HashKeyCommand  `cmd:"" help:"Read a key from standard input and print the hash that declarations hold."`
}

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// ErrNotAccepted is returned if a change is stored but not yet held by a majority
// of the daemons.
var ErrNotAccepted = errors.New("not accepted yet")

// Main parses the arguments, runs the command and returns the exit code.
func Main(arguments []string, in io.Reader, out, errOut io.Writer) int {
	streams := &Streams{
		In:  in,
		Out: out,
		Err: errOut,
	}
	var cli CLI
	exited, exitCode := false, 0
	parser, err := kong.New(&cli,
		kong.Name("headcourse"),
		kong.Description("Serves models whose replicas span several VMs. A daemon runs on each entry VM; operators state intents, review plans and confirm them."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) {
			exited, exitCode = true, code
		}),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		return printError(errOut, err, ExitUsage)
	}
	kongContext, err := parser.Parse(arguments)
	if exited {
		return exitCode
	}
	if err != nil {
		return printError(errOut, err, ExitUsage)
	}
	if err = kongContext.Run(streams); err != nil {
		return printError(errOut, err, exitCodeFor(err))
	}
	return ExitSuccess
}

// usageError wraps an error in the command line or in a setting, for which the
// exit code is ExitUsage.
type usageError struct {
	cause error
}

// Error returns the text of the cause.
func (u usageError) Error() string {
	return u.cause.Error()
}

// printError writes an error for the user and returns the exit code.
func printError(errOut io.Writer, err error, code int) int {
	_, _ = fmt.Fprintf(errOut, "headcourse: %s\n", err)
	return code
}

// exitCodeFor returns the exit code for an error.
func exitCodeFor(err error) int {
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, ErrNotAccepted):
		return ExitNotAccepted
	case errors.Is(err, table.ErrUnknown), errors.Is(err, operator.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	default:
		return ExitFailed
	}
}
