package overload

import "time"

const (
	// historyInterval is the minimum time between two stored fractions, so that frequent updates
	// don't displace older ones. historySize of them cover maxAge.
	historyInterval = 200 * time.Millisecond
	historySize     = 16
)

// history holds the fractions of recent decisions. Totals are older than the latest decision, so that
// what was sent follows from the decision at their time.
type history struct {
	entries [historySize]historyEntry
	count   int
}

// historyEntry is a fraction that applied from a time on.
type historyEntry struct {
	fraction float64
	since    time.Time
}

// record stores the fraction of a decision at a time.
func (h *history) record(fraction float64, now time.Time) {
	if h.count > 0 && now.Sub(h.entries[(h.count-1)%historySize].since) < historyInterval {
		return
	}
	h.entries[h.count%historySize] = historyEntry{
		fraction: fraction,
		since:    now,
	}
	h.count++
}

// mean returns the mean fraction between two times; it is 1 before the first decision.
func (h *history) mean(from, to time.Time) float64 {
	if !from.Before(to) {
		return h.mean(to.Add(-time.Nanosecond), to)
	}
	sum := 0.0
	end := to
	for i := h.count - 1; i >= 0 && i >= h.count-historySize && end.After(from); i-- {
		entry := h.entries[i%historySize]
		begin := entry.since
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(end) {
			sum += entry.fraction * end.Sub(begin).Seconds()
			end = begin
		}
	}
	sum += end.Sub(from).Seconds()
	return sum / to.Sub(from).Seconds()
}
