// Command headcourse-lab runs the stand-ins of the platform, the demo, the load
// generator and the measurements.
package main

import (
	"os"

	"headcourse/labcommand"
)

func main() {
	os.Exit(labcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
