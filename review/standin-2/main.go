// Command standin-2 plays the cases of the second review. It starts daemons of the project as
// processes of their own, holds the stand-ins of the platform's store and of the clients, and starts
// the stand-ins of the backend servers as processes too.
//
//	standin-2 play CASE FOLDER    plays a case; the record goes to FOLDER/record.txt
//	standin-2 runner ...          is one backend server
//
// The exit code of play is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment, the same is played without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*stage) (bool, error){
	"4": playTruncatedStreams,
	"5": playStop,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 play CASE FOLDER | standin-2 runner ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "runner":
		runRunner(os.Args[2:])
	case "play":
		os.Exit(play(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(exitNotRun)
	}
}

// play plays one case and returns the exit code.
func play(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 play CASE FOLDER")
		return exitNotRun
	}
	s, err := newStage(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	isBroken, err := cases[arguments[0]](s)
	switch {
	case err != nil:
		s.note("the case could not run: %s", err)
		return exitNotRun
	case isBroken:
		s.note("RULE BROKEN")
		return exitBroken
	default:
		s.note("rule held")
		return exitHeld
	}
}
