package labcommand

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/examples"
	"headcourse/lab/platform"
)

// PlatformCommand runs the stand-ins of the platform for one deployment.
type PlatformCommand struct {
	Deployment  string        `name:"deployment" default:"caudal-andino" help:"Deployment whose VMs are listed."`
	Scale       int           `name:"scale" default:"1" help:"Factor of the number of fabric domains."`
	Host        string        `name:"host" default:"127.0.0.1" help:"IP number to listen on."`
	Port        int           `name:"port" default:"9000" help:"Port of the table service; the VM list and the VMs follow."`
	LoadTime    time.Duration `name:"load-time" default:"1500ms" help:"Time for which an engine loads a model."`
	FirstToken  time.Duration `name:"first-token" default:"60ms" help:"Time to an answer's first token."`
	EachToken   time.Duration `name:"each-token" default:"15ms" help:"Time between tokens."`
	Slots       int           `name:"slots" default:"32" help:"Maximum number of requests that a group runs at once."`
	ServiceTime time.Duration `name:"service-time" default:"5ms" help:"Service time of plain services."`
	ListLag     time.Duration `name:"list-lag" default:"1s" help:"Delay of changes in the VM list."`
	Loads       float64       `name:"loads-per-second" default:"20" help:"Rate of the weight store."`
}

// Run runs the stand-ins until SIGTERM or SIGINT. The table service listens on the
// first port, the VM list on the next, and the VMs on those after it.
func (p *PlatformCommand) Run(streams *Streams) error {
	if net.ParseIP(p.Host) == nil {
		return errors.Errorf("--host: %q is not an IP number", p.Host)
	}
	deployment, err := examples.Load(p.Deployment)
	if err != nil {
		return errors.Wrap(err, "--deployment")
	}
	vms := deployment.WithScale(max(1, p.Scale)).VMs()
	for i := range vms {
		vms[i].Address = p.addressAt(2 + i)
	}
	standIns, err := platform.Start(platform.Settings{
		VMs:             vms,
		TableAddress:    p.addressAt(0),
		VMListAddress:   p.addressAt(1),
		VMListDelay:     p.ListLag,
		Slots:           p.Slots,
		LoadTime:        p.LoadTime,
		FirstTokenDelay: p.FirstToken,
		TokenInterval:   p.EachToken,
		ServiceTime:     p.ServiceTime,
		LoadsPerSecond:  p.Loads,
		LoadBurst:       2 * int(p.Loads),
	})
	if err != nil {
		return err
	}
	defer standIns.Stop()
	_, err = fmt.Fprintf(streams.Out, "table service %s\nVM list %s\n%d VMs from %s on\nfaults of any: POST {\"down\":true} to /lab/faults\n", standIns.TableAddress(), standIns.VMListAddress(), len(standIns.VMs), standIns.VMs[0].Address)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

// addressAt returns the IP:port at an offset from the first port.
func (p *PlatformCommand) addressAt(portOffset int) string {
	return net.JoinHostPort(p.Host, strconv.Itoa(p.Port+portOffset))
}
