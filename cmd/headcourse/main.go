// Command headcourse runs a daemon, and is the operators' command line.
package main

import (
	"os"

	"headcourse/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
