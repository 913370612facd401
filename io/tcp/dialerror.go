package tcp

// DialError is the error of a connect that failed on all ways to the address.
type DialError struct {
	// Refused is set if the connect failed other than by a timeout.
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
