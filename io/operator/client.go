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

// Client sends an operator's requests to a daemon. Create it with NewClient.
type Client struct {
	address string
	key     string
	http    *http1.Client
}

// ErrOutcomeUnknown marks errors after which it is unknown whether the daemon has executed
// the request.
var ErrOutcomeUnknown = errors.New("no answer from the daemon")

// NewClient returns a client for the daemon at IP:port.
func NewClient(address, key string) *Client {
	return &Client{
		address: address,
		key:     key,
		http: &http1.Client{
			ConnectTimeout: 2 * time.Second,
			IOTimeout:      requestTimeout + 5*time.Second,
		},
	}
}

// call sends a request, with body as JSON if it is not nil, and decodes the reply into
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
		var httpErr *http1.Error
		if errors.As(err, &httpErr) && httpErr.MayHaveBeenSent {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return replyError(response)
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), target), "decode answer of %s", c.address)
}

// replyError returns the error of an answer whose status is not 200.
func replyError(response *fasthttp.Response) error {
	var reply errorReply
	if json.Unmarshal(response.Body(), &reply) != nil || reply.Error == "" {
		reply.Error = "status " + fasthttp.StatusMessage(response.StatusCode())
	}
	if reply.Unknown {
		return errors.Wrap(ErrOutcomeUnknown, reply.Error)
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return errors.New(reply.Error)
	}
	return MarkInvalid(errors.New(reply.Error))
}

// Apply applies a declaration.
func (c *Client) Apply(request ApplyRequest) (reply ApplyReply, err error) {
	err = c.call(fasthttp.MethodPost, pathApply, request, &reply)
	return reply, err
}

// Diff compares a declaration with the one in force, without applying it.
func (c *Client) Diff(request ApplyRequest) (reply DiffReply, err error) {
	err = c.call(fasthttp.MethodPost, pathDiff, request, &reply)
	return reply, err
}

// Propose creates a plan for an intent.
func (c *Client) Propose(intent plan.Intent) (reply PlanReply, err error) {
	err = c.call(fasthttp.MethodPost, pathPlans, intent, &reply)
	return reply, err
}

// Plans returns all plans.
func (c *Client) Plans() (plans []plan.Plan, err error) {
	err = c.call(fasthttp.MethodGet, pathPlans, nil, &plans)
	return plans, err
}

// Plan returns one plan.
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

// Status returns the state of the fleet as the daemon sees it.
func (c *Client) Status() (status Status, err error) {
	err = c.call(fasthttp.MethodGet, pathStatus, nil, &status)
	return status, err
}

// Groups returns the state of all groups.
func (c *Client) Groups() (groups []GroupStatus, err error) {
	err = c.call(fasthttp.MethodGet, pathGroups, nil, &groups)
	return groups, err
}

// Counters returns the daemon's counters.
func (c *Client) Counters() (counters Counters, err error) {
	err = c.call(fasthttp.MethodGet, pathCounters, nil, &counters)
	return counters, err
}
