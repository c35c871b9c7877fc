// Package tdrelay passes a backend server's answer on to the caller and
// checks that it is whole.
//
// # Usage
//
//	result, err := tdrelay.Copy(w, answer)
package tdrelay

import (
	"bytes"
	"io"
	"net/http"

	"tarragondeal"
)

// bufferBytes bounds what one open answer holds in memory.
const bufferBytes = 16 << 10

// endMarker ends a whole stream of server-sent events.
var endMarker = []byte("data: [DONE]")

// Result says what was passed on.
type Result struct {
	Bytes  int64
	Events int
	Whole  bool
}

// Copy passes the answer's body on until its end.
func Copy(w http.ResponseWriter, a *tarragondeal.Answer, stream bool) (Result, error) {
	var res Result
	buf := make([]byte, bufferBytes)
	rc := http.NewResponseController(w)
	var tail []byte
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return res, werr
			}
			_ = rc.Flush()
			res.Bytes += int64(n)
			res.Events += bytes.Count(buf[:n], []byte("data: "))
			tail = append(tail, buf[:n]...)
			tail = tail[max(0, len(tail)-2*len(endMarker)):]
		}
		if err == io.EOF {
			res.Whole = whole(a, res, tail, stream)
			return res, nil
		}
		if err != nil {
			return res, err
		}
	}
}

func whole(a *tarragondeal.Answer, res Result, tail []byte, stream bool) bool {
	if stream {
		return bytes.Contains(tail, endMarker)
	}
	return a.Length < 0 || a.Length == res.Bytes
}
