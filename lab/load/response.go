package load

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// readBody reads the rest of a response body, or returns nil on an error.
func readBody(response *fasthttp.Response) []byte {
	body, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return nil
	}
	return body
}

// asError wraps errors.As.
func asError(err error, target any) bool {
	return errors.As(err, target)
}
