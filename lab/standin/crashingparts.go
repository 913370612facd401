package standin

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"headcourse/platform/wire"
)

// CrashingPart is a part of a prompt that crashes each server which begins to write an answer on
// it.
type CrashingPart struct {
	ID string
	// Model is the only model whose servers crash; empty means all.
	Model string
	// AfterFirstEvent makes servers crash after the first event of a stream instead of before.
	AfterFirstEvent bool
}

// PartRecord has the moments at which requests with a part arrived at servers, and at which
// servers crashed on it.
type PartRecord struct {
	Arrivals []time.Time
	Crashes  []time.Time
}

// ArrivalsAfter returns how many requests arrived after a moment.
func (r PartRecord) ArrivalsAfter(moment time.Time) int {
	count := 0
	for _, arrival := range r.Arrivals {
		if arrival.After(moment) {
			count++
		}
	}
	return count
}

// crashingParts holds the parts that crash servers, and what is recorded of them.
type crashingParts struct {
	parts   []CrashingPart
	records map[string]*PartRecord
}

// AddCrashingPart makes a part crash servers from now on.
func (p *Platform) AddCrashingPart(part CrashingPart) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.crashingParts.records == nil {
		p.crashingParts.records = map[string]*PartRecord{}
	}
	p.crashingParts.parts = append(p.crashingParts.parts, part)
	if p.crashingParts.records[part.ID] == nil {
		p.crashingParts.records[part.ID] = &PartRecord{}
	}
}

// RemoveCrashingParts makes all parts harmless. Their records stay.
func (p *Platform) RemoveCrashingParts() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.crashingParts.parts = nil
}

// PartRecord returns the record of a part that was added.
func (p *Platform) PartRecord(id string) PartRecord {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := p.crashingParts.records[id]
	return PartRecord{
		Arrivals: slices.Clone(record.Arrivals),
		Crashes:  slices.Clone(record.Crashes),
	}
}

// partIDs returns the IDs of the parts of a request's prompt.
func partIDs(r *http.Request) []string {
	var ids []string
	for element := range strings.SplitSeq(r.Header.Get(wire.HeaderPromptParts), ",") {
		id, _, _ := strings.Cut(element, ":")
		ids = append(ids, strings.ToLower(id))
	}
	return ids
}

// findCrashingPart returns the part of a request that crashes its server, or nil.
func (p *Platform) findCrashingPart(r *http.Request) *CrashingPart {
	ids := partIDs(r)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, part := range p.crashingParts.parts {
		isForModel := part.Model == "" || part.Model == r.Header.Get(wire.HeaderModel)
		if isForModel && slices.Contains(ids, part.ID) {
			return &part
		}
	}
	return nil
}

// recordPartArrival records the arrival of a request with a crashing part.
func (p *Platform) recordPartArrival(part CrashingPart) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := p.crashingParts.records[part.ID]
	record.Arrivals = append(record.Arrivals, time.Now())
}

// crashOnPart crashes the server on a part of a prompt, after the first event of the answer if the
// part says so.
func (s *Server) crashOnPart(w http.ResponseWriter, r *http.Request, part CrashingPart) {
	if events := requestedEvents(r); part.AfterFirstEvent && len(events) > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		// The client may have disconnected, which makes no difference to the crash.
		_, _ = w.Write([]byte(events[0]))
		_ = http.NewResponseController(w).Flush()
	}
	if s.platform.crash(s, r) {
		s.platform.mutex.Lock()
		record := s.platform.crashingParts.records[part.ID]
		record.Crashes = append(record.Crashes, time.Now())
		s.platform.mutex.Unlock()
	}
	panic(http.ErrAbortHandler)
}
