// Package tdbody reads the bodies of answers up to a limit.
//
// # Usage
//
//	body, err := tdbody.Read(res.Body, 8<<20)
//	if tooLarge, ok := errors.AsType[*tarragondeal.AnswerSizeError](err); ok {
//		// The same call is likely to get the same answer.
//	}
//
// A part of a body is never returned as the whole.
package tdbody

import (
	"io"

	"tarragondeal"
)

// Read reads a whole body. The error is a *tarragondeal.AnswerSizeError if it has more than
// limit bytes; the rest is then not read.
func Read(r io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, &tarragondeal.AnswerSizeError{Limit: limit}
	}
	return body, nil
}
