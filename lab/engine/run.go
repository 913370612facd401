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

// streamsPath is where streams are resumed (GET) and cancelled (DELETE).
const streamsPath = "/v1/streams/"

// keepRuns is how long an ended stream can be resumed.
const keepRuns = 20 * time.Second

// Completion is the request body that the stand-in reads.
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

// defaultTokens is the length of an answer when the request names none.
const defaultTokens = 16

// Answer returns the tokens of the answer to a request: they depend on its
// messages alone.
func Answer(request Completion) []string {
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

// run is one request being answered. Events are made by one goroutine and read
// by the connections that follow the stream.
type run struct {
	id      string
	tokens  []string
	mutex   sync.Mutex
	changed *sync.Cond
	made    int
	done    bool
	broken  bool
	endedAt time.Time
}

// newRun returns a run that has made nothing yet.
func newRun(id string, tokens []string) *run {
	made := &run{
		id:     id,
		tokens: tokens,
	}
	made.changed = sync.NewCond(&made.mutex)
	return made
}

// cut breaks the run.
func (r *run) cut() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.done {
		r.broken = true
		r.changed.Broadcast()
	}
}

// advance makes one more token, and tells whether to go on.
func (r *run) advance() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.broken {
		return false
	}
	r.made++
	r.done = r.made == len(r.tokens)
	r.changed.Broadcast()
	return !r.done
}

// waitFor waits until more than position tokens are made, or the run ended.
func (r *run) waitFor(position int) (made int, done, broken bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.made <= position && !r.done && !r.broken {
		r.changed.Wait()
	}
	return r.made, r.done, r.broken
}

// ----------------------------------------------------------------------------
// Serving

// refusal is the body of an answer that says that nothing was run.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// refuse answers that nothing was run.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(ctx, status, refusal{
		Outcome: "not_run",
		Reason:  reason,
	})
}

// serveCompletion runs a request, unless the group is not as the caller thinks.
func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var request Completion
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	generation, _ := strconv.ParseUint(string(ctx.Request.Header.Peek("X-Generation")), 10, 64)
	started, status, reason := e.begin(id, string(ctx.Request.Header.Peek("X-Group")), generation, request)
	if started == nil {
		refuse(ctx, status, reason)
		return
	}
	if request.Stream {
		follow(ctx, started, 0)
		return
	}
	e.answerWhole(ctx, started, request)
}

// begin starts a run, or says why not.
func (e *Engine) begin(id, group string, generation uint64, request Completion) (started *run, status int, reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	isOther := group != e.current.Group || generation != e.current.Generation
	switch {
	case !e.loaded || !e.whole:
		return nil, fasthttp.StatusConflict, "not_whole"
	case e.settings.ChecksOrders && isOther:
		return nil, fasthttp.StatusConflict, "other_generation"
	case e.active >= e.settings.Slots:
		return nil, fasthttp.StatusTooManyRequests, "busy"
	}
	e.ledger[id]++
	e.active++
	e.forgetEnded()
	started = newRun(id, Answer(request))
	e.runs[id] = started
	go e.generate(started)
	return started, 0, ""
}

// forgetEnded drops runs that ended long ago. The mutex is held.
func (e *Engine) forgetEnded() {
	for id, one := range e.runs {
		one.mutex.Lock()
		isOld := !one.endedAt.IsZero() && time.Since(one.endedAt) > keepRuns
		one.mutex.Unlock()
		if isOld {
			delete(e.runs, id)
		}
	}
}

// generate makes the tokens of a run at the engine's speed.
func (e *Engine) generate(one *run) {
	time.Sleep(e.settings.FirstToken)
	for one.advance() {
		e.faults.WaitWhilePaused()
		slow := time.Duration(e.faults.Get().SlowMS) * time.Millisecond
		time.Sleep(e.settings.EachToken + slow/10)
	}
	one.mutex.Lock()
	one.endedAt = time.Now()
	one.mutex.Unlock()
	e.mutex.Lock()
	e.active--
	e.mutex.Unlock()
}

// answerWhole answers without streaming.
func (e *Engine) answerWhole(ctx *fasthttp.RequestCtx, one *run, request Completion) {
	position := 0
	for {
		made, done, broken := one.waitFor(position)
		if broken {
			breakOff(ctx)
			return
		}
		if done {
			break
		}
		position = made
	}
	writeJSON(ctx, fasthttp.StatusOK, wholeAnswer(one, request))
}

// wholeAnswer is the body of a completion that is not streamed.
func wholeAnswer(one *run, request Completion) any {
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
		ID:     one.id,
		Object: "chat.completion",
		Model:  request.Model,
		Choices: []choice{{
			Message: Message{
				Role:    "assistant",
				Content: strings.Join(one.tokens, ""),
			},
			FinishReason: "stop",
		}},
	}
}

// breakOff ends a connection without an answer.
func breakOff(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.Close()
	})
}

// serveStream resumes or cancels a stream.
func (e *Engine) serveStream(ctx *fasthttp.RequestCtx, id string) {
	e.mutex.Lock()
	one := e.runs[id]
	e.mutex.Unlock()
	if one == nil {
		ctx.Error("no such stream", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		one.cut()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	position, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
	follow(ctx, one, position)
}

// follow streams a run from a position as server-sent events.
func follow(ctx *fasthttp.RequestCtx, one *run, position int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&follower{
		run:      one,
		position: position,
	}, -1)
}

// follower reads a run as server-sent events. Each event's id is its position
// from 1, and the last event's data is [DONE].
type follower struct {
	run      *run
	position int
	buffered []byte
	ended    bool
}

// Read returns the next events.
func (f *follower) Read(target []byte) (int, error) {
	if len(f.buffered) == 0 {
		if err := f.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(target, f.buffered)
	f.buffered = f.buffered[n:]
	return n, nil
}

// fill waits for events and encodes them.
func (f *follower) fill() error {
	if f.ended {
		return io.EOF
	}
	made, done, broken := f.run.waitFor(f.position)
	if broken {
		return io.ErrUnexpectedEOF
	}
	for ; f.position < made; f.position++ {
		f.buffered = appendEvent(f.buffered, f.position+1, f.run.id, f.run.tokens[f.position])
	}
	if done && f.position == len(f.run.tokens) {
		f.buffered = append(f.buffered, "data: [DONE]\n\n"...)
		f.ended = true
	}
	return nil
}

// appendEvent encodes one token as an event.
func appendEvent(buffer []byte, position int, id, token string) []byte {
	content, _ := json.Marshal(token)
	return fmt.Appendf(buffer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", position, id, content)
}

// ReadEvents reads server-sent events from r and calls visit with each one's
// position and data; it returns the error that ended the stream, io.EOF where
// it was whole.
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
