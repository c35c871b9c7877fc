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

	"github.com/rs/zerolog"
)

// New returns the logger of a process.
func New(w io.Writer, node string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("node", node).Logger()
}

// Part returns the logger of one component, whose lines have the component's
// name in the field "part".
func Part(base zerolog.Logger, part string) zerolog.Logger {
	return base.With().Str("part", part).Logger()
}
