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
	exitConflict = 3 // Another set was published in the meantime; nothing was changed.
	exitLagging  = 4 // The change is published, but not yet in force at all nodes.
)

// usageError describes an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// conflictError is returned for a set that is based on a version no longer in
// force.
type conflictError struct {
	base, current tarragondeal.Version
	details       []string
}

func (e *conflictError) Error() string {
	text := fmt.Sprintf("conflict: the set was made from version %d, and version %d is in force; nothing was changed", e.base, e.current)
	if len(e.details) > 0 {
		text += "\nchanges in between:\n  " + strings.Join(e.details, "\n  ")
	}
	return text
}

// laggingError is returned for a published change that is not yet in force at
// some nodes.
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

// exitCode returns the exit code of a command. It prints an error, if any, to
// the standard error.
func (t *tool) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(t.err, errorMessage(err))
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

// errorMessage returns the text that is printed for an error. Errors in settings
// name their file, all others get the name of the program as a prefix.
func errorMessage(err error) string {
	var settings *tdsettings.SettingsError
	if errors.As(err, &settings) {
		return settings.Error()
	}
	return "tarragondeal: " + err.Error()
}
