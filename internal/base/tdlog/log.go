// Package tdlog makes the loggers of the parts of a process.
//
// # Usage
//
//	base := tdlog.New(os.Stderr, "node1", zerolog.InfoLevel)
//	log := tdlog.Part(base, "config")
//	log.Info().Uint64("version", 7).Msg("set in force")
//
// Every line is JSON, carries its part's name as a fixed field, and says
// one short sentence.
package tdlog

import (
	"io"

	"github.com/rs/zerolog"
)

// New returns the logger of a process.
func New(w io.Writer, node string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("node", node).Logger()
}

// Part returns the logger of one part: each line carries the part's name as
// a fixed prefix before the message.
func Part(base zerolog.Logger, part string) zerolog.Logger {
	return base.With().Str("part", part).Logger()
}
