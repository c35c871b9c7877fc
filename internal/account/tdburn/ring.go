package tdburn

import (
	"time"

	"tarragondeal"
)

// ring holds one value for each bucket of time, of the newest buckets only.
type ring[T any] struct {
	width   time.Duration
	newest  int64 // The number of the newest bucket, counted from the clock's origin.
	buckets []T
	// closed, if set, is called with a bucket when a newer one begins.
	closed func(*T)
}

func newRing[T any](width, span time.Duration) *ring[T] {
	return &ring[T]{width: width, buckets: make([]T, int(span/width))}
}

// at returns the bucket of now. Buckets that lie too far back are cleared.
func (r *ring[T]) at(now tarragondeal.Instant) *T {
	size := int64(len(r.buckets))
	n := int64(now) / int64(r.width)
	if n > r.newest {
		if r.closed != nil {
			r.closed(&r.buckets[r.newest%size])
		}
		for k := max(r.newest+1, n-size+1); k <= n; k++ {
			var zero T
			r.buckets[k%size] = zero
		}
		r.newest = n
	}
	return &r.buckets[r.newest%size]
}

// last calls each with the buckets of the window that ends now, the newest
// first. The window is at most one bucket shorter than asked for.
func (r *ring[T]) last(now tarragondeal.Instant, window time.Duration, each func(*T)) {
	r.at(now)
	size := int64(len(r.buckets))
	count := min(size, int64(window/r.width), r.newest+1)
	for k := range count {
		each(&r.buckets[(r.newest-k)%size])
	}
}

// back returns the bucket that lies age buckets before that of now, or nil
// when the ring does not go that far back.
func (r *ring[T]) back(now tarragondeal.Instant, age uint32) *T {
	r.at(now)
	size := int64(len(r.buckets))
	n := r.newest - int64(age)
	if int64(age) >= size || n < 0 {
		return nil
	}
	return &r.buckets[n%size]
}

// all calls each with all buckets and their ages, the newest first.
func (r *ring[T]) all(now tarragondeal.Instant, each func(age uint32, b *T)) {
	age := uint32(0)
	r.last(now, r.width*time.Duration(len(r.buckets)), func(b *T) {
		each(age, b)
		age++
	})
}
