package gateway

import "bytes"

// heldBody is the body of an answer whose memory is reserved until the client has it.
type heldBody struct {
	*bytes.Reader
	job *job
}

// newHeldBody returns a body that the HTTP library reads and closes.
func newHeldBody(j *job, content []byte) *heldBody {
	return &heldBody{
		Reader: bytes.NewReader(content),
		job:    j,
	}
}

// Close is called by the HTTP library when the answer has been written or could not be written.
func (b *heldBody) Close() error {
	b.Reset(nil)
	b.job.afterHedges(b.job.releaseMemory)
	return nil
}

// releaseMemory returns what the request has reserved to the memory for answers.
func (j *job) releaseMemory() {
	j.server.answerMemory.Release(j.reservedBytes.Swap(0))
}
