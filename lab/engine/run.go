package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// streamsPath is the prefix of paths that resume (GET) or cancel (DELETE) a stream.
const streamsPath = "/v1/streams/"

// endedRunRetention is how long an ended stream can be resumed at least.
const endedRunRetention = 20 * time.Second

// Completion is the part of a request body that the stand-in reads.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// defaultTokens is the number of tokens of an answer if the request does not set max_tokens.
const defaultTokens = 16

// AnswerTokens returns the tokens of the answer to a request. They depend only on the messages
// and the maximum number of tokens.
func AnswerTokens(request Completion) []string {
	hash := xxhash.New()
	for _, message := range request.Messages {
		_, _ = hash.WriteString(message.Role + "\x00" + message.Content + "\x00")
	}
	seed := hash.Sum64()
	count := request.MaxTokens
	if count <= 0 {
		count = defaultTokens
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%08x-%d ", uint32(seed), i)
	}
	return tokens
}

// run is the execution of one request. One goroutine generates its tokens; every connection
// that follows the stream reads them.
type run struct {
	id        string
	tokens    []string
	mutex     sync.Mutex
	changed   *sync.Cond
	generated int
	done      bool
	aborted   bool
	endedAt   time.Time
}

// newRun returns a run without generated tokens.
func newRun(id string, tokens []string) *run {
	created := &run{
		id:     id,
		tokens: tokens,
	}
	created.changed = sync.NewCond(&created.mutex)
	return created
}

// abort aborts a run that is not done.
func (r *run) abort() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.done {
		r.aborted = true
		r.changed.Broadcast()
	}
}

// generateToken generates one token and reports whether more tokens follow.
func (r *run) generateToken() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.aborted {
		return false
	}
	r.generated++
	r.done = r.generated == len(r.tokens)
	r.changed.Broadcast()
	return !r.done
}

// waitPast waits until more than position tokens are generated, or the run is done or aborted.
func (r *run) waitPast(position int) (generated int, done, aborted bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.generated <= position && !r.done && !r.aborted {
		r.changed.Wait()
	}
	return r.generated, r.done, r.aborted
}

// ----------------------------------------------------------------------------
// Requests

// rejection is the body of an answer to a request that was not executed.
type rejection struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// reject answers that the request was not executed.
func reject(ctx *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(ctx, status, rejection{
		Outcome: "not_run",
		Reason:  reason,
	})
}

// serveCompletion executes a request, or rejects it if the group is incomplete, of another
// generation or busy.
func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var request Completion
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		reject(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	generation, _ := strconv.ParseUint(string(ctx.Request.Header.Peek("X-Generation")), 10, 64)
	started, status, reason := e.startRun(id, string(ctx.Request.Header.Peek("X-Group")), generation, request)
	if started == nil {
		reject(ctx, status, reason)
		return
	}
	if request.Stream {
		streamRun(ctx, started, 0)
		return
	}
	e.answerUnstreamed(ctx, started, request)
}

// startRun starts a run, or returns the status and reason of its rejection.
func (e *Engine) startRun(id, group string, generation uint64, request Completion) (started *run, status int, reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	isMismatch := group != e.current.Group || generation != e.current.Generation
	switch {
	case !e.loaded || !e.complete:
		return nil, fasthttp.StatusConflict, "not_whole"
	case e.settings.ChecksOrders && isMismatch:
		return nil, fasthttp.StatusConflict, "other_generation"
	case e.inFlight >= e.settings.Slots:
		return nil, fasthttp.StatusTooManyRequests, "busy"
	}
	e.ledger[id]++
	e.inFlight++
	e.evictEndedRuns()
	started = newRun(id, AnswerTokens(request))
	e.runs[id] = started
	go e.generate(started)
	return started, 0, ""
}

// evictEndedRuns removes runs that ended more than endedRunRetention ago. The mutex is held.
func (e *Engine) evictEndedRuns() {
	for id, ended := range e.runs {
		ended.mutex.Lock()
		isExpired := !ended.endedAt.IsZero() && time.Since(ended.endedAt) > endedRunRetention
		ended.mutex.Unlock()
		if isExpired {
			delete(e.runs, id)
		}
	}
}

// generate generates the tokens of a run at the configured intervals.
func (e *Engine) generate(active *run) {
	time.Sleep(e.settings.FirstTokenDelay)
	for active.generateToken() {
		e.faults.WaitWhilePaused()
		// A slow engine delays each token by a tenth of the delay of a request.
		slowdown := time.Duration(e.faults.Get().SlowMS) * time.Millisecond
		time.Sleep(e.settings.TokenInterval + slowdown/10)
	}
	active.mutex.Lock()
	active.endedAt = time.Now()
	active.mutex.Unlock()
	e.mutex.Lock()
	e.inFlight--
	e.mutex.Unlock()
}

// answerUnstreamed waits for the end of a run and answers with the whole completion. It closes
// the connection without an answer if the run is aborted.
func (e *Engine) answerUnstreamed(ctx *fasthttp.RequestCtx, active *run, request Completion) {
	position := 0
	for {
		generated, done, aborted := active.waitPast(position)
		if aborted {
			closeWithoutAnswer(ctx)
			return
		}
		if done {
			break
		}
		position = generated
	}
	writeJSON(ctx, fasthttp.StatusOK, completionBody(active, request))
}

// completionBody returns the body of a completion that is not streamed.
func completionBody(finished *run, request Completion) any {
	type choice struct {
		Index        int     `json:"index"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	return struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{
		ID:     finished.id,
		Object: "chat.completion",
		Model:  request.Model,
		Choices: []choice{{
			Message: Message{
				Role:    "assistant",
				Content: strings.Join(finished.tokens, ""),
			},
			FinishReason: "stop",
		}},
	}
}

// closeWithoutAnswer closes the connection without an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.Close()
	})
}

// serveStream resumes or cancels a stream.
func (e *Engine) serveStream(ctx *fasthttp.RequestCtx, id string) {
	e.mutex.Lock()
	target := e.runs[id]
	e.mutex.Unlock()
	if target == nil {
		ctx.Error("no such stream", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		target.abort()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	position, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
	streamRun(ctx, target, position)
}

// streamRun streams a run as server-sent events, beginning after a position.
func streamRun(ctx *fasthttp.RequestCtx, source *run, position int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&eventReader{
		run:      source,
		position: position,
	}, -1)
}

// eventReader encodes a run as server-sent events. The id of an event is its position,
// beginning at 1, and the data of the last event is [DONE].
type eventReader struct {
	run      *run
	position int
	buffered []byte
	atEnd    bool
}

// Read returns the next bytes of encoded events.
func (r *eventReader) Read(target []byte) (int, error) {
	if len(r.buffered) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(target, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

// fill waits for new tokens and encodes them as events.
func (r *eventReader) fill() error {
	if r.atEnd {
		return io.EOF
	}
	generated, done, aborted := r.run.waitPast(r.position)
	if aborted {
		return io.ErrUnexpectedEOF
	}
	for ; r.position < generated; r.position++ {
		r.buffered = appendEvent(r.buffered, r.position+1, r.run.id, r.run.tokens[r.position])
	}
	if done && r.position == len(r.run.tokens) {
		r.buffered = append(r.buffered, "data: [DONE]\n\n"...)
		r.atEnd = true
	}
	return nil
}

// appendEvent encodes one token as an event.
func appendEvent(buffer []byte, position int, id, token string) []byte {
	content, _ := json.Marshal(token)
	return fmt.Appendf(buffer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", position, id, content)
}

// ReadEvents reads server-sent events from r and calls visit with the position and data of
// each event. It returns the error that ended the stream, which is io.EOF for a complete
// stream.
func ReadEvents(r io.Reader, visit func(position int, data string)) error {
	reader := bufio.NewReader(r)
	position := 0
	for {
		line, err := reader.ReadString('\n')
		line = strings.TrimRight(line, "\n")
		if after, ok := strings.CutPrefix(line, "id: "); ok {
			position, _ = strconv.Atoi(after)
		}
		if after, ok := strings.CutPrefix(line, "data: "); ok {
			visit(position, after)
		}
		if err != nil {
			return err
		}
	}
}
