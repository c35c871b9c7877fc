package tdusage

// LineKey identifies a line.
type LineKey struct{ Workspace, Route string }

// Counts holds counters that only increase.
type Counts struct {
	Requests     int64
	InputTokens  int64
	OutputTokens int64
}

func (c Counts) max(other Counts) Counts {
	return Counts{
		Requests:     max(c.Requests, other.Requests),
		InputTokens:  max(c.InputTokens, other.InputTokens),
		OutputTokens: max(c.OutputTokens, other.OutputTokens),
	}
}

// Add returns the sum.
func (c Counts) Add(other Counts) Counts {
	return Counts{c.Requests + other.Requests, c.InputTokens + other.InputTokens, c.OutputTokens + other.OutputTokens}
}

// Sub returns the difference.
func (c Counts) Sub(other Counts) Counts {
	return Counts{c.Requests - other.Requests, c.InputTokens - other.InputTokens, c.OutputTokens - other.OutputTokens}
}

// Lines holds the counts of a source by line.
type Lines map[LineKey]Counts

// merge sets each count to the larger of the two.
func (l Lines) merge(other Lines) {
	for k, c := range other {
		l[k] = l[k].max(c)
	}
}

// covers reports whether no count of other is larger.
func (l Lines) covers(other Lines) bool {
	for k, c := range other {
		if l[k].max(c) != l[k] {
			return false
		}
	}
	return true
}

// Plus adds other's counts to l.
func (l Lines) Plus(other Lines) {
	for k, c := range other {
		l[k] = l[k].Add(c)
	}
}

// Minus returns the lines that changed since an earlier state, with the
// differences.
func (l Lines) Minus(earlier Lines) Lines {
	out := make(Lines)
	for k, c := range l {
		if d := c.Sub(earlier[k]); d != (Counts{}) {
			out[k] = d
		}
	}
	return out
}

func (l Lines) clone() Lines {
	out := make(Lines, len(l))
	for k, c := range l {
		out[k] = c
	}
	return out
}

func (l Lines) messages() []*Line {
	out := make([]*Line, 0, len(l))
	for k, c := range l {
		out = append(out, lineMessage(k, c))
	}
	return out
}

func lineMessage(k LineKey, c Counts) *Line {
	return &Line{
		Workspace: k.Workspace, Route: k.Route,
		Requests: c.Requests, InputTokens: c.InputTokens, OutputTokens: c.OutputTokens,
	}
}

// parseLines converts messages to lines. Negative counts become zero.
func parseLines(messages []*Line) Lines {
	out := make(Lines, len(messages))
	for _, m := range messages {
		k := LineKey{m.GetWorkspace(), m.GetRoute()}
		out[k] = out[k].max(Counts{m.GetRequests(), m.GetInputTokens(), m.GetOutputTokens()})
	}
	return out
}
