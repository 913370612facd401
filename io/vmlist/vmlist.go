// Package vmlist is the client for the platform's list of live and leaving VMs, which
// uses JSON over HTTP.
package vmlist

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/vm"
	"headcourse/io/http1"
)

// Client reads the list of VMs. Create it with New.
type Client struct {
	address string
	http    *http1.Client
}

// New returns a client for the list service at IP:port.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &http1.Client{
			ConnectTimeout: 500 * time.Millisecond,
			IOTimeout:      2 * time.Second,
		},
	}
}

// VMs returns the list of VMs.
func (c *Client) VMs() ([]vm.VM, error) {
	status, answer, err := c.http.CallJSON(c.address, "/vms", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("read VM list at %s: status %d", c.address, status)
	}
	var vms []vm.VM
	err = json.Unmarshal(answer, &vms)
	return vms, errors.Wrapf(err, "read VM list at %s", c.address)
}
