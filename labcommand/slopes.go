package labcommand

import (
	"encoding/csv"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/examples"
	"headcourse/lab/slopes"
)

// SlopesCommand measures the resources that an idle daemon uses for control, for
// several numbers of daemons.
type SlopesCommand struct {
	Deployment string        `name:"deployment" default:"caudal-andino" help:"Deployment that the platform runs."`
	Scale      int           `name:"scale" default:"1" help:"Scale that the platform runs at."`
	Table      string        `name:"table" default:"127.0.0.1:9000" help:"IP:port of the table service of a platform in another process."`
	VMList     string        `name:"vm-list" default:"127.0.0.1:9001" help:"IP:port of its VM list."`
	Daemons    []int         `name:"daemons" default:"3,9,18,36" help:"Numbers of daemons."`
	Runs       int           `name:"runs" default:"3" help:"Runs of each."`
	Settle     time.Duration `name:"settle" default:"8s" help:"Time before each measurement."`
	Measure    time.Duration `name:"measure" default:"10s" help:"Time of each measurement."`
}

// Run writes a row of comma-separated values for each run.
func (s *SlopesCommand) Run(streams *Streams) error {
	deployment, err := examples.Load(s.Deployment)
	if err != nil {
		return errors.Wrap(err, "--deployment")
	}
	deployment = deployment.WithScale(max(1, s.Scale))
	table := csv.NewWriter(streams.Out)
	defer table.Flush()
	err = table.Write([]string{"daemons", "vms", "groups", "run", "cpu_percent_of_a_core", "memory_kb", "peer_bytes_per_s", "store_reads_per_s_all", "store_commits_per_s_all", "spread_s"})
	for _, daemonCount := range s.Daemons {
		for runNumber := 1; runNumber <= s.Runs && err == nil; runNumber++ {
			measured, measureErr := slopes.Measure(slopes.Settings{
				Deployment: deployment,
				Table:      s.Table,
				VMList:     s.VMList,
				Daemons:    daemonCount,
				Settle:     s.Settle,
				Measure:    s.Measure,
			})
			if measureErr != nil {
				return errors.Wrapf(measureErr, "%d daemons", daemonCount)
			}
			err = table.Write([]string{
				strconv.Itoa(measured.Daemons), strconv.Itoa(measured.VMs), strconv.Itoa(measured.Groups), strconv.Itoa(runNumber),
				fmt.Sprintf("%.3f", 100*measured.CPUCores), fmt.Sprintf("%.0f", measured.MemoryBytes/1024), fmt.Sprintf("%.0f", measured.PeerBytesPerSecond),
				fmt.Sprintf("%.2f", measured.ReadsPerSecond), fmt.Sprintf("%.2f", measured.CommitsPerSecond), fmt.Sprintf("%.2f", measured.PropagationSeconds),
			})
			table.Flush()
		}
	}
	return err
}
