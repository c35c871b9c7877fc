package tdburn

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"tarragondeal"
)

// Latencies are counted in units of a tenth of a millisecond, up to an hour,
// to two significant digits.
const (
	latencyUnit   = 100 * time.Microsecond
	latencyMax    = int64(time.Hour / latencyUnit)
	latencyDigits = 2
)

// The rings of histograms: the fine one serves windows up to an hour.
const (
	histFineWidth   = 5 * time.Minute
	histFineSpan    = time.Hour
	histCoarseWidth = time.Hour
	histCoarseSpan  = 72 * time.Hour
)

// maxPackedBytes bounds a histogram on the wire.
const maxPackedBytes = 64 << 10

// measure is a kind of latency.
type measure int

const (
	firstToken measure = iota
	betweenTokens
	total
	measures
)

// bucket holds the histograms of one bucket of time: open while it is the
// newest, and packed, which takes a small part of the memory, afterwards.
type bucket struct {
	open   [measures]*hdr.Histogram
	packed [measures][]byte
}

func newHistogram() *hdr.Histogram { return hdr.New(1, latencyMax, latencyDigits) }

func (b *bucket) record(m measure, d time.Duration) {
	if d <= 0 {
		return
	}
	if b.open[m] == nil {
		b.open[m] = newHistogram()
	}
	_ = b.open[m].RecordValue(min(max(int64(d/latencyUnit), 1), latencyMax))
}

// pack closes a bucket.
func (b *bucket) pack() {
	for m, h := range b.open {
		if h != nil {
			b.packed[m] = packHistogram(h)
			b.open[m] = nil
		}
	}
}

// packHistogram returns a histogram in the library's compressed form, and
// nil for an empty one.
func packHistogram(h *hdr.Histogram) []byte {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	b, err := h.Encode(hdr.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil // Only a wrong version number does that.
	}
	return b
}

// unpackInto adds a packed histogram to another.
func unpackInto(h *hdr.Histogram, packed []byte) error {
	if len(packed) == 0 {
		return nil
	}
	if len(packed) > maxPackedBytes {
		return eris.Errorf("histogram of %d bytes", len(packed))
	}
	from, err := hdr.Decode(packed)
	if err != nil {
		return eris.Wrap(err, "histogram")
	}
	h.Merge(from)
	return nil
}

// latencies is what is kept of the latencies of a class.
type latencies struct{ fine, coarse *ring[bucket] }

func newLatencies() *latencies {
	l := &latencies{
		fine:   newRing[bucket](histFineWidth, histFineSpan),
		coarse: newRing[bucket](histCoarseWidth, histCoarseSpan),
	}
	l.fine.closed, l.coarse.closed = (*bucket).pack, (*bucket).pack
	return l
}

func (l *latencies) add(now tarragondeal.Instant, s *tarragondeal.Sample) {
	if s.Refused || s.Failed {
		return // They have no latency that means anything.
	}
	for _, r := range []*ring[bucket]{l.fine, l.coarse} {
		b := r.at(now)
		b.record(firstToken, s.FirstToken)
		b.record(betweenTokens, s.BetweenTokens)
		b.record(total, s.Total)
	}
}

// sum returns the merged histograms of a window, packed.
func (l *latencies) sum(now tarragondeal.Instant, window time.Duration) (out [measures][]byte) {
	r := l.coarse
	if window <= histFineSpan {
		r = l.fine
	}
	var merged [measures]*hdr.Histogram
	for m := range merged {
		merged[m] = newHistogram()
	}
	r.last(now, window, func(b *bucket) {
		for m := range merged {
			if b.open[m] != nil {
				merged[m].Merge(b.open[m])
			}
			_ = unpackInto(merged[m], b.packed[m]) // This node packed it.
		}
	})
	for m := range out {
		out[m] = packHistogram(merged[m])
	}
	return out
}
