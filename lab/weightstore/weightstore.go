// Package weightstore is the stand-in for the platform's rate-limited store of
// model weights. Every load takes its share of one rate, so that many loads at
// once are slow for all.
package weightstore

import (
	"context"

	"golang.org/x/time/rate"
)

// Store is the weight store. Use New.
type Store struct {
	limiter *rate.Limiter
}

// New returns a store that finishes loadsPerSecond loads a second, with burst
// of them at once.
func New(loadsPerSecond float64, burst int) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst),
	}
}

// Fetch waits until one load's weights have been read.
func (s *Store) Fetch(ctx context.Context) error {
	return s.limiter.Wait(ctx)
}
