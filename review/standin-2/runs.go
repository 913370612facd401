package main

import "sync"

// runLedger counts the runs of requests by their IDs. The zero value is empty.
type runLedger struct {
	mutex sync.Mutex
	runs  map[string]int
}

// add adds a run.
func (l *runLedger) add(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[id]++
}

// of returns how often a request ran.
func (l *runLedger) of(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[id]
}
