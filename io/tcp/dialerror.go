package tcp

import (
	"net"

	"github.com/pkg/errors"
)

// ErrNoPath is the error of a connect that is not tried, since recent ones to other servers failed on all ways.
var ErrNoPath = errors.New("no path to the servers of this service")

// DialError is the error of a connect that failed on all ways to the address.
type DialError struct {
	// Refused is set if the connect failed other than by a timeout. If Confirmed is set too, that is what the observer
	// found who confirmed it.
	Refused bool
	// Confirmed is set if it is the fault of the server at the address: an observer whose links to
	// other servers work failed too. Otherwise it may be the fault of this daemon's own links.
	Confirmed bool
	Cause     error
}

// Error returns the cause.
func (e *DialError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// IsRefused reports whether a connect failed other than by a timeout, mostly because nothing listens at the
// address, or because this daemon's own link is lost.
func IsRefused(err error) bool {
	var failed *DialError
	if errors.As(err, &failed) {
		return failed.Refused
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout()
}

// IsServerRefusing reports whether a connect failed because nothing listens at the address. It is false if the fault
// may be that of this daemon's own links.
func IsServerRefusing(err error) bool {
	var failed *DialError
	if errors.As(err, &failed) && !failed.Confirmed {
		return false
	}
	return IsRefused(err)
}

// IsServerUnreached reports whether a connect was refused or not tried, whoever's fault that is: nothing shows that the
// server runs. A connect that timed out shows nothing either, but the server may stand still.
func IsServerUnreached(err error) bool {
	return IsRefused(err) || errors.Is(err, ErrNoPath)
}
