package load

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// bodyOf reads the rest of an answer.
func bodyOf(response *fasthttp.Response) []byte {
	body, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return nil
	}
	return body
}

// asError is errors.As.
func asError(err error, target any) bool {
	return errors.As(err, target)
}
