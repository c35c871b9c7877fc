// Package tdlog creates the loggers of a process and its components.
//
// # Usage
//
//	base := tdlog.New(os.Stderr, "node1", zerolog.InfoLevel)
//	log := tdlog.Part(base, "config")
//	log.Info().Uint64("version", 7).Msg("set in force")
//
// Every line is a JSON object with the component's name in the field "part" and
// one short sentence as its message.
package tdlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns the logger of a process.
func New(w io.Writer, node string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("node", node).Logger()
}

// maxErrorBytes limits the text of a bounded error.
const maxErrorBytes = 500

// Bounded returns err with a text of limited length. Errors of decoders quote what they
// decode, however long it is.
func Bounded(err error) error {
	if err == nil || len(err.Error()) <= maxErrorBytes {
		return err
	}
	return &boundedError{err}
}

// boundedError is an error whose text is cut off.
type boundedError struct{ err error }

// Error implements error.
func (e *boundedError) Error() string { return e.err.Error()[:maxErrorBytes] + "..." }

// Unwrap returns the whole error.
func (e *boundedError) Unwrap() error { return e.err }

// Sampled returns a logger of at most n lines a period, for events that may go on without end.
// Those that it leaves out should be counted in a metric.
func Sampled(l zerolog.Logger, n uint32, period time.Duration) zerolog.Logger {
	return l.Sample(&zerolog.BurstSampler{Burst: n, Period: period})
}

// Part returns the logger of one component, whose lines have the component's
// name in the field "part".
func Part(base zerolog.Logger, part string) zerolog.Logger {
	return base.With().Str("part", part).Logger()
}
