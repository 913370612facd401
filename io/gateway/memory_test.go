package gateway_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
)

// peakHeap returns the largest heap in use, in bytes, while work runs.
func peakHeap(work func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	var peak uint64
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Guards against a faulty server that ends the whole daemon: it answered many requests with bodies without end, and the
// daemon kept up to the limit of one answer for each.
func TestManyEndlessBodiesStayWithinMemory(t *testing.T) {
	const (
		vmMemory = 284 << 20
		// memoryShare of the VM's memory is what a daemon may use.
		memoryShare = 0.85
		requests    = 24
	)
	endless := startEndlessServer(t, answerHead+"\r\n", strings.Repeat("more bytes ", 100))
	options := newOptions(newSource(serversView(config.Unsafe, endless.listener.Addr().String())))
	options.MemoryBytes = vmMemory
	server := startGateway(t, options)
	peak := peakHeap(func() {
		var clients sync.WaitGroup
		for range requests {
			clients.Go(func() {
				status, _ := sendRequest(t, server.Address(), "r1", time.Minute)
				qt.Check(t, status, qt.Equals, http.StatusBadGateway)
			})
		}
		clients.Wait()
	})
	t.Logf("peak of the heap: %d MB", peak>>20)
	qt.Assert(t, float64(peak) < memoryShare*vmMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}
