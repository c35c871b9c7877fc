package tdusage

// LineKey names a line.
type LineKey struct{ Workspace, Route string }

// Figures are counts that only rise.
type Figures struct {
	Requests     int64
	InputTokens  int64
	OutputTokens int64
}

func (f Figures) max(g Figures) Figures {
	return Figures{
		Requests:     max(f.Requests, g.Requests),
		InputTokens:  max(f.InputTokens, g.InputTokens),
		OutputTokens: max(f.OutputTokens, g.OutputTokens),
	}
}

// Add returns the sum.
func (f Figures) Add(g Figures) Figures {
	return Figures{f.Requests + g.Requests, f.InputTokens + g.InputTokens, f.OutputTokens + g.OutputTokens}
}

// Sub returns the difference.
func (f Figures) Sub(g Figures) Figures {
	return Figures{f.Requests - g.Requests, f.InputTokens - g.InputTokens, f.OutputTokens - g.OutputTokens}
}

// Lines are the figures of one source.
type Lines map[LineKey]Figures

// merge takes the larger of each figure.
func (l Lines) merge(other Lines) {
	for k, f := range other {
		l[k] = l[k].max(f)
	}
}

// covers reports whether no figure of other is larger.
func (l Lines) covers(other Lines) bool {
	for k, f := range other {
		if l[k].max(f) != l[k] {
			return false
		}
	}
	return true
}

// Plus adds other's figures.
func (l Lines) Plus(other Lines) {
	for k, f := range other {
		l[k] = l[k].Add(f)
	}
}

// Minus returns the lines in which l is ahead of an earlier state.
func (l Lines) Minus(earlier Lines) Lines {
	out := make(Lines)
	for k, f := range l {
		if d := f.Sub(earlier[k]); d != (Figures{}) {
			out[k] = d
		}
	}
	return out
}

func (l Lines) clone() Lines {
	out := make(Lines, len(l))
	for k, f := range l {
		out[k] = f
	}
	return out
}

func (l Lines) messages() []*Line {
	out := make([]*Line, 0, len(l))
	for k, f := range l {
		out = append(out, message(k, f))
	}
	return out
}

func message(k LineKey, f Figures) *Line {
	return &Line{
		Workspace: k.Workspace, Route: k.Route,
		Requests: f.Requests, InputTokens: f.InputTokens, OutputTokens: f.OutputTokens,
	}
}

// lines reads messages. A figure below zero counts as zero.
func lines(messages []*Line) Lines {
	out := make(Lines, len(messages))
	for _, m := range messages {
		k := LineKey{m.GetWorkspace(), m.GetRoute()}
		out[k] = out[k].max(Figures{m.GetRequests(), m.GetInputTokens(), m.GetOutputTokens()})
	}
	return out
}
