package tdfront

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/platform/tdwire"
)

// maxRequestID bounds a caller's own request id.
const maxRequestID = 128

// forwarded are the headers of a request that backend servers get.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent", "Tracestate"}

// ownPaths are those of a backend server's interface to the platform and the
// router. Callers can't call them.
var ownPaths = []string{
	tdwire.PathLoad, tdwire.PathEvents, tdwire.PathEngine, tdwire.PathResume, tdwire.PathExport, tdwire.PathImport,
}

func headersFor(r *http.Request) http.Header {
	out := make(http.Header, len(forwarded))
	for _, name := range forwarded {
		if v, ok := r.Header[name]; ok {
			out[name] = v
		}
	}
	return out
}

// misplaced refuses a request that has a key anywhere but in the header for
// it. Such a key may have been seen by others, and must go no further.
func misplaced(r *http.Request) error {
	unescaped, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return refused(tarragondeal.ReasonBadRequest, "the query is not properly escaped")
	}
	for _, text := range []string{r.URL.RawQuery, unescaped, r.URL.Path} {
		if tdkey.Contains([]byte(text)) {
			return keyIn("the URL")
		}
	}
	for name, values := range r.Header {
		if name != "Authorization" && slices.ContainsFunc(values, hasKey) {
			return keyIn("another header")
		}
	}
	return nil
}

func hasKey(text string) bool { return tdkey.Contains([]byte(text)) }

func keyIn(place string) error {
	return refused(tarragondeal.ReasonKeyMisplaced,
		"a key stands in "+place+"; send it as Authorization: Bearer only, and have this one replaced")
}

// bearer checks the key that came with a request.
func bearer(v *tarragondeal.View, r *http.Request) (*tarragondeal.Key, error) {
	values := r.Header["Authorization"]
	if len(values) > 1 {
		return nil, refused(tarragondeal.ReasonBadRequest, "there is more than one Authorization header")
	}
	if len(values) == 0 {
		return nil, refused(tarragondeal.ReasonNoKey, "send the key as Authorization: Bearer")
	}
	scheme, text, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, refused(tarragondeal.ReasonNoKey, "send the key as Authorization: Bearer")
	}
	return tdkey.Check(v, strings.TrimSpace(text))
}

// read reads a request's body within its limits, and its trailers.
func (f *Front) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if e := r.Header.Get("Content-Encoding"); e != "" && e != "identity" {
		return nil, refused(tarragondeal.ReasonBadRequest, "encoded bodies are not taken")
	}
	if r.ContentLength > f.opt.MaxBody {
		return nil, f.tooLarge()
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.opt.Body))
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, f.opt.MaxBody))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, f.unread(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	for _, values := range r.Trailer {
		if slices.ContainsFunc(values, hasKey) {
			return nil, keyIn("a trailer")
		}
	}
	if tdkey.Contains(buf.Bytes()) {
		return nil, keyIn("the body")
	}
	return buf.Bytes(), nil
}

func (f *Front) tooLarge() error {
	return refused(tarragondeal.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", f.opt.MaxBody))
}

func (f *Front) unread(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return f.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(tarragondeal.ReasonSlow, fmt.Sprintf("the body did not come within %s", f.opt.Body))
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refused(tarragondeal.ReasonBadRequest, "the body ended before its announced length")
	default:
		return refused(tarragondeal.ReasonBadRequest, "the body can't be read")
	}
}

// servicePath returns the path and query that a service is called with.
func servicePath(r *http.Request, route string) (string, error) {
	prefix := "/services/" + route
	plain := strings.TrimPrefix(r.URL.Path, prefix)
	if plain == "" || plain[0] != '/' || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return "", refused(tarragondeal.ReasonBadRequest, "the path has empty or dotted parts")
	}
	if slices.Contains(ownPaths, strings.TrimSuffix(plain, "/")) {
		return "", refused(tarragondeal.ReasonNoRoute, "nothing is served at this path")
	}
	out := (&url.URL{Path: plain}).EscapedPath()
	if r.URL.RawQuery != "" {
		out += "?" + r.URL.RawQuery
	}
	return out, nil
}

// callerID returns a request's id as its caller gave it.
func callerID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderRequest)
	if len(id) > maxRequestID {
		return "", refused(tarragondeal.ReasonBadRequest, fmt.Sprintf("%s is longer than %d bytes", HeaderRequest, maxRequestID))
	}
	return id, nil
}
