package main

import (
	"errors"
	"fmt"
	"strings"

	"tarragondeal"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/node/tdsettings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // The command failed, or the set has faults.
	exitUsage    = 2 // The command line or the settings are wrong.
	exitConflict = 3 // Another set was published in between; nothing was changed.
	exitLagging  = 4 // The change is published, and not in force everywhere yet.
)

// usageError is a command line that asks for nothing that can be done.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// conflictError is a set that was made from a version no longer in force.
type conflictError struct {
	base, current tarragondeal.Version
	details       []string
}

func (e *conflictError) Error() string {
	text := fmt.Sprintf("conflict: the set was made from version %d, and version %d is in force; nothing was changed", e.base, e.current)
	if len(e.details) > 0 {
		text += "\nin between came:\n  " + strings.Join(e.details, "\n  ")
	}
	return text
}

// laggingError is a change that some nodes don't have in force yet.
type laggingError struct {
	version tarragondeal.Version
	nodes   []tarragondeal.NodeID
}

func (e *laggingError) Error() string {
	names := make([]string, 0, len(e.nodes))
	for _, n := range e.nodes {
		names = append(names, string(n))
	}
	return fmt.Sprintf("version %d is published, and not yet in force at: %s", e.version, strings.Join(names, ", "))
}

// ended returns the exit code of a command that was run, and says why when
// it is not zero.
func (t *tool) ended(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(t.err, message(err))
	var usage *usageError
	var settings *tdsettings.SettingsError
	var conflict *conflictError
	var lagging *laggingError
	var refused *tdoperator.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &settings):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refused) && refused.Code == tdoperator.CodeConflict:
		return exitConflict
	case errors.As(err, &lagging):
		return exitLagging
	}
	return exitFailed
}

// message is what is printed of an error: settings and sets name their own
// files, all else is the tool's.
func message(err error) string {
	var settings *tdsettings.SettingsError
	if errors.As(err, &settings) {
		return settings.Error()
	}
	return "tarragondeal: " + err.Error()
}
