package tdburn

import (
	"time"

	"tarragondeal"
)

// ring is a ring buffer of consecutive time buckets that keeps the newest ones.
type ring[T any] struct {
	width   time.Duration
	newest  int64 // Number of the newest bucket, counted from the clock's origin.
	buckets []T
	// onClose, if not nil, is called with the newest bucket before a newer one
	// begins.
	onClose func(*T)
}

func newRing[T any](width, span time.Duration) *ring[T] {
	return &ring[T]{width: width, buckets: make([]T, int(span/width))}
}

// at advances the ring to now, clearing expired buckets, and returns the newest
// bucket.
func (r *ring[T]) at(now tarragondeal.Instant) *T {
	size := int64(len(r.buckets))
	n := int64(now) / int64(r.width)
	if n > r.newest {
		if r.onClose != nil {
			r.onClose(&r.buckets[r.newest%size])
		}
		for k := max(r.newest+1, n-size+1); k <= n; k++ {
			var zero T
			r.buckets[k%size] = zero
		}
		r.newest = n
	}
	return &r.buckets[r.newest%size]
}

// last calls fn with the buckets of the window that ends at now, newest first.
// As the newest bucket is incomplete, they cover up to one bucket less than
// window.
func (r *ring[T]) last(now tarragondeal.Instant, window time.Duration, fn func(*T)) {
	r.at(now)
	size := int64(len(r.buckets))
	count := min(size, int64(window/r.width), r.newest+1)
	for k := range count {
		fn(&r.buckets[(r.newest-k)%size])
	}
}

// atAge returns the bucket that lies age buckets before the current one, or nil
// if the ring does not reach back that far.
func (r *ring[T]) atAge(now tarragondeal.Instant, age uint32) *T {
	r.at(now)
	size := int64(len(r.buckets))
	n := r.newest - int64(age)
	if int64(age) >= size || n < 0 {
		return nil
	}
	return &r.buckets[n%size]
}

// all calls fn with all buckets and their ages, newest first.
func (r *ring[T]) all(now tarragondeal.Instant, fn func(age uint32, b *T)) {
	age := uint32(0)
	r.last(now, r.width*time.Duration(len(r.buckets)), func(b *T) {
		fn(age, b)
		age++
	})
}
