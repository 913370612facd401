// Package memory bounds the bytes that a daemon holds of the answers of backend servers.
package memory

import "sync"

// answerDivisor is the part of the VM's memory that buffered answers may take. The garbage collector lets the heap
// grow to twice of what is in use.
const answerDivisor = 5

// AnswerLimit returns how many bytes of the memory of a VM may hold answers; 0, no limit, if that is unknown.
func AnswerLimit(vmBytes int64) int64 {
	return vmBytes / answerDivisor
}

// Budget is a number of bytes that may be held at once. The zero value has no limit. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	limit int64
	used  int64
}

// SetLimit sets the limit in bytes; 0 means none.
func (b *Budget) SetLimit(limit int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
}

// Reserve takes bytes from the budget. It returns false, and takes nothing, if there are not enough left.
func (b *Budget) Reserve(bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.limit > 0 && b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

// Release returns bytes to the budget.
func (b *Budget) Release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}
