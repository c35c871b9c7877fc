package tdreport

import (
	"encoding/json"
	"fmt"
	"io"

	"tarragondeal/internal/account/tdburn"
)

// Format is an output format of a report.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatHTML Format = "html"
)

// FormatError reports an unknown format.
type FormatError struct{ Format Format }

func (e *FormatError) Error() string {
	return fmt.Sprintf("expected text, json or html, found %q", string(e.Format))
}

// Check returns a *FormatError if f is unknown.
func (f Format) Check() error {
	switch f {
	case FormatText, FormatJSON, FormatHTML:
		return nil
	}
	return &FormatError{Format: f}
}

// Write writes a report to w. It returns a *FormatError if f is unknown, or the
// error of writing or encoding.
func Write(w io.Writer, f Format, r *tdburn.Report) error {
	switch f {
	case FormatText:
		return writeText(w, r)
	case FormatJSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	case FormatHTML:
		return writeHTML(w, r)
	}
	return &FormatError{Format: f}
}
