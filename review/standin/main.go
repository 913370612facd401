// Command standin plays the cases of the review. It holds the stand-ins of the platform and of the
// clients, and starts the project's daemons and the stand-ins of backend servers as processes of
// their own.
//
//	standin server SETTINGS                  one backend server, for the plays
//	standin CASE RECORD                      play a case and write what was seen to RECORD
//
// The exit code of a play is 0 if the rule held, 1 if it was broken, and 2 if the play could not run.
// With TROUBLE=0 in the environment the disruption is left out. With CHUNKED=1 streams are sent in
// chunks, for comparison. VARIANT=notice is another disruption of the case "truncation". LOGS names a
// folder for the logs of the daemons.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a play.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// plays are the cases by name.
var plays = map[string]func(p *play) (isBroken bool, err error){
	"truncation": playTruncation,
	"memory":     playMemory,
	"starved":    playStarved,
}

func main() {
	const argumentCount = 3
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: standin server SETTINGS | standin CASE RECORD")
		os.Exit(exitFailure)
	}
	if os.Args[1] == "server" {
		if err := runServer(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			os.Exit(exitFailure)
		}
		return
	}
	os.Exit(runPlay(os.Args[1], os.Args[2]))
}

// runPlay plays a case and returns the exit code.
func runPlay(name, recordPath string) int {
	run, isKnown := plays[name]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "standin: no case is called", name)
		return exitFailure
	}
	p, err := newPlay(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailure
	}
	defer p.close()
	isBroken, err := run(p)
	switch {
	case err != nil:
		p.record("the case could not run: %s", err)
		return exitFailure
	case isBroken:
		p.record("BROKEN")
		return exitBroken
	default:
		p.record("the rule held")
		return exitHeld
	}
}
