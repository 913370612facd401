package operator

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/plan"
	"headcourse/io/http1"
)

// Client asks a daemon on an operator's behalf. Use NewClient.
type Client struct {
	address string
	key     string
	http    *http1.Client
}

// ErrNoAnswer marks errors after which it is not known whether the daemon
// carried the request out.
var ErrNoAnswer = errors.New("no answer from the daemon")

// NewClient returns a client of the daemon at IP:port.
func NewClient(address, key string) *Client {
	return &Client{
		address: address,
		key:     key,
		http: &http1.Client{
			ConnectTimeout: 2 * time.Second,
			IdleTimeout:    requestTimeout + 5*time.Second,
		},
	}
}

// call sends a request with body as JSON, if not nil, and reads the reply into
// target.
func (c *Client) call(method, path string, body, target any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetMethod(method)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		request.Header.SetContentType("application/json")
		request.SetBody(encoded)
	}
	if err := c.http.Do(c.address, request, response, true, false); err != nil {
		var failed *http1.Error
		if errors.As(err, &failed) && failed.Sent {
			return errors.Wrap(ErrNoAnswer, err.Error())
		}
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return replyError(response)
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), target), "decode answer of %s", c.address)
}

// replyError returns the error that a daemon answered with.
func replyError(response *fasthttp.Response) error {
	var reply errorReply
	if json.Unmarshal(response.Body(), &reply) != nil || reply.Error == "" {
		reply.Error = "status " + fasthttp.StatusMessage(response.StatusCode())
	}
	if reply.Unknown {
		return errors.Wrap(ErrNoAnswer, reply.Error)
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return errors.New(reply.Error)
	}
	return Refuse(errors.New(reply.Error))
}

// Apply applies a declaration.
func (c *Client) Apply(request ApplyRequest) (reply ApplyReply, err error) {
	err = c.call(fasthttp.MethodPost, pathApply, request, &reply)
	return reply, err
}

// Diff compares a declaration with the one in force.
func (c *Client) Diff(request ApplyRequest) (reply DiffReply, err error) {
	err = c.call(fasthttp.MethodPost, pathDiff, request, &reply)
	return reply, err
}

// Propose plans an intent.
func (c *Client) Propose(intent plan.Intent) (reply PlanReply, err error) {
	err = c.call(fasthttp.MethodPost, pathPlans, intent, &reply)
	return reply, err
}

// Plans lists all plans.
func (c *Client) Plans() (plans []plan.Plan, err error) {
	err = c.call(fasthttp.MethodGet, pathPlans, nil, &plans)
	return plans, err
}

// Plan shows one plan.
func (c *Client) Plan(id string) (reply PlanReply, err error) {
	err = c.call(fasthttp.MethodGet, pathPlans+"/"+url.PathEscape(id), nil, &reply)
	return reply, err
}

// Confirm confirms a plan.
func (c *Client) Confirm(id string) (reply PlanReply, err error) {
	return c.Change(id, changeConfirm)
}

// Change pauses, resumes or abandons a plan.
func (c *Client) Change(id string, change plan.Change) (reply PlanReply, err error) {
	err = c.call(fasthttp.MethodPost, pathPlans+"/"+url.PathEscape(id)+"/"+string(change), nil, &reply)
	return reply, err
}

// Status shows what the daemon knows of the fleet.
func (c *Client) Status() (status Status, err error) {
	err = c.call(fasthttp.MethodGet, pathStatus, nil, &status)
	return status, err
}

// Groups shows the groups.
func (c *Client) Groups() (groups []GroupStatus, err error) {
	err = c.call(fasthttp.MethodGet, pathGroups, nil, &groups)
	return groups, err
}

// Counters shows the daemon's counters.
func (c *Client) Counters() (counters Counters, err error) {
	err = c.call(fasthttp.MethodGet, pathCounters, nil, &counters)
	return counters, err
}
