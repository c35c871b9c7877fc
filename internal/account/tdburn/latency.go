package tdburn

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

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
// What was inherited is packed from the start.
type bucket struct {
	open   [measures]*hdr.Histogram
	packed [measures]*LatencyCounts
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
			c := newCells()
			b.addTo(measure(m), c)
			b.packed[m], b.open[m] = c.pack(), nil
		}
	}
}

// addTo adds what the bucket holds of a measure.
func (b *bucket) addTo(m measure, to cells) {
	if b.open[m] != nil {
		for n, count := range b.open[m].Export().Counts {
			to[n] += count
		}
	}
	_ = to.add(b.packed[m]) // Checked before it came here.
}

// cells are the counts of a histogram, one for each of its ranges.
type cells []int64

// cellCount is how many cells every histogram here has.
var cellCount = len(newHistogram().Export().Counts)

func newCells() cells { return make(cells, cellCount) }

func (c cells) pack() *LatencyCounts {
	out := &LatencyCounts{}
	last := 0
	for n, count := range c {
		if count > 0 {
			out.Step = append(out.Step, uint32(n-last))
			out.Count = append(out.Count, uint64(count))
			last = n
		}
	}
	return out
}

// add adds packed counts. When it returns an error, some may be added.
func (c cells) add(in *LatencyCounts) error {
	if len(in.GetStep()) != len(in.GetCount()) {
		return errMalformed
	}
	n := uint64(0)
	for k, step := range in.GetStep() {
		n += uint64(step)
		if n >= uint64(len(c)) || in.Count[k] > maxCount {
			return errMalformed
		}
		c[n] += int64(in.Count[k])
	}
	return nil
}

// maxCount bounds a count that another node sends, so that sums of them
// can't overflow.
const maxCount = 1 << 40

// histogram returns the cells as a histogram, for its quantiles.
func (c cells) histogram() *hdr.Histogram {
	return hdr.Import(&hdr.Snapshot{
		LowestTrackableValue: 1, HighestTrackableValue: latencyMax, SignificantFigures: latencyDigits, Counts: c,
	})
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

// sum returns the counts of a window.
func (l *latencies) sum(now tarragondeal.Instant, window time.Duration) (out [measures]*LatencyCounts) {
	r := l.coarse
	if window <= histFineSpan {
		r = l.fine
	}
	for m := range out {
		merged := newCells()
		r.last(now, window, func(b *bucket) {
			b.addTo(measure(m), merged)
		})
		out[m] = merged.pack()
	}
	return out
}
