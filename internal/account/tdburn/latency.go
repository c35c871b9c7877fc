package tdburn

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"tarragondeal"
)

// Range and resolution of the histograms.
const (
	latencyUnit   = 100 * time.Microsecond
	latencyMax    = int64(time.Hour / latencyUnit) // In latencyUnit.
	latencyDigits = 2                              // Significant decimal digits.
)

// Resolution and extent of the rings of histograms. The fine ring serves windows
// up to its span, the coarse ring longer ones.
const (
	histFineWidth   = 5 * time.Minute
	histFineSpan    = time.Hour
	histCoarseWidth = time.Hour
	histCoarseSpan  = 72 * time.Hour
)

// latencyKind identifies one of the measured latencies.
type latencyKind int

const (
	firstToken latencyKind = iota
	betweenTokens
	total
	latencyKinds
)

// histBucket holds the histograms of one time bucket. Requests are counted in open
// while the bucket is the newest one of its ring, and then packed, which takes a
// small part of the memory. Counts from a hand-over are only packed. A bucket may
// hold both, and its figures are the sum.
type histBucket struct {
	open   [latencyKinds]*hdr.Histogram
	packed [latencyKinds]*LatencyCounts
}

func newHistogram() *hdr.Histogram { return hdr.New(1, latencyMax, latencyDigits) }

// record counts a latency. A request without a latency of this kind has zero, which
// is not counted.
func (b *histBucket) record(kind latencyKind, d time.Duration) {
	if d <= 0 {
		return
	}
	if b.open[kind] == nil {
		b.open[kind] = newHistogram()
	}
	_ = b.open[kind].RecordValue(min(max(int64(d/latencyUnit), 1), latencyMax))
}

// pack converts the open histograms into packed counts, added to those of a
// hand-over.
func (b *histBucket) pack() {
	for m, h := range b.open {
		if h != nil {
			c := newBins()
			b.addTo(latencyKind(m), c)
			b.packed[m], b.open[m] = c.pack(), nil
		}
	}
}

// addTo adds the bucket's counts of a latency to the given bins.
func (b *histBucket) addTo(kind latencyKind, to bins) {
	if b.open[kind] != nil {
		for n, count := range b.open[kind].Export().Counts {
			to[n] += count
		}
	}
	// Fails only for a sum above maxBinCount, which real traffic doesn't reach.
	_ = to.add(b.packed[kind])
}

// bins are the counts of a histogram, indexed by bin.
type bins []int64

// binCount is the number of bins of a histogram from newHistogram.
var binCount = len(newHistogram().Export().Counts)

func newBins() bins { return make(bins, binCount) }

// pack returns the counts without empty bins. Each Step is the distance from the
// previous bin in the list, or from bin 0.
func (b bins) pack() *LatencyCounts {
	out := &LatencyCounts{}
	last := 0
	for n, count := range b {
		if count > 0 {
			out.Step = append(out.Step, uint32(n-last))
			out.Count = append(out.Count, uint64(count))
			last = n
		}
	}
	return out
}

// add adds packed counts. If it returns an error, some of them may have been
// added.
func (b bins) add(in *LatencyCounts) error {
	if len(in.GetStep()) != len(in.GetCount()) {
		return errMalformed
	}
	n := uint64(0)
	for k, step := range in.GetStep() {
		n += uint64(step)
		if n >= uint64(len(b)) || in.Count[k] > maxBinCount {
			return errMalformed
		}
		b[n] += int64(in.Count[k])
	}
	return nil
}

// maxBinCount limits a count received from another node, so that their sums
// can't overflow.
const maxBinCount = 1 << 40

// histogram returns the bins as a histogram, to compute quantiles.
func (b bins) histogram() *hdr.Histogram {
	return hdr.Import(&hdr.Snapshot{
		LowestTrackableValue: 1, HighestTrackableValue: latencyMax, SignificantFigures: latencyDigits, Counts: b,
	})
}

// latencies holds the latency histograms of a class.
type latencies struct{ fine, coarse *ring[histBucket] }

func newLatencies() *latencies {
	l := &latencies{
		fine:   newRing[histBucket](histFineWidth, histFineSpan),
		coarse: newRing[histBucket](histCoarseWidth, histCoarseSpan),
	}
	l.fine.onClose, l.coarse.onClose = (*histBucket).pack, (*histBucket).pack
	return l
}

func (l *latencies) add(now tarragondeal.Instant, s *tarragondeal.Sample) {
	if s.Refused || s.Failed {
		return // Their latencies are meaningless.
	}
	for _, r := range []*ring[histBucket]{l.fine, l.coarse} {
		b := r.at(now)
		b.record(firstToken, s.FirstToken)
		b.record(betweenTokens, s.BetweenTokens)
		b.record(total, s.Total)
	}
}

// sum returns the packed counts of a window that ends at now.
func (l *latencies) sum(now tarragondeal.Instant, window time.Duration) (out [latencyKinds]*LatencyCounts) {
	r := l.coarse
	if window <= histFineSpan {
		r = l.fine
	}
	for m := range out {
		merged := newBins()
		r.last(now, window, func(b *histBucket) {
			b.addTo(latencyKind(m), merged)
		})
		out[m] = merged.pack()
	}
	return out
}
