// Package weightstore is the stand-in for the platform's rate-limited store of model weights.
// All loads share one rate limit, so that many concurrent loads slow each other down.
package weightstore

import (
	"context"

	"golang.org/x/time/rate"
)

// Store is the weight store. Use New.
type Store struct {
	limiter *rate.Limiter
}

// New returns a store that completes loadsPerSecond loads a second, and up to burst loads at
// once.
func New(loadsPerSecond float64, burst int) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst),
	}
}

// Fetch waits until the weights of one load are read. It returns an error if ctx ends before.
func (s *Store) Fetch(ctx context.Context) error {
	return s.limiter.Wait(ctx)
}
