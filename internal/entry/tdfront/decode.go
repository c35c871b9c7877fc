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

// maxRequestID is the maximum length in bytes of a request id set by a caller.
const maxRequestID = 128

// forwardedHeaderNames are the headers of a request that are sent on to backend
// servers.
var forwardedHeaderNames = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent", "Tracestate"}

// internalPaths are the paths of a backend server that only the platform and
// the router may call.
var internalPaths = []string{
	tdwire.PathLoad, tdwire.PathEvents, tdwire.PathEngine, tdwire.PathResume, tdwire.PathExport, tdwire.PathImport,
}

func forwardedHeader(r *http.Request) http.Header {
	out := make(http.Header, len(forwardedHeaderNames))
	for _, name := range forwardedHeaderNames {
		if v, ok := r.Header[name]; ok {
			out[name] = v
		}
	}
	return out
}

// checkMisplacedKey returns an error if the URL or a header other than
// Authorization contains a key. Such a key may have been seen by others and
// must not be sent on.
func checkMisplacedKey(r *http.Request) error {
	unescaped, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return refused(tarragondeal.ReasonBadRequest, "the query is not properly escaped")
	}
	for _, text := range []string{r.URL.RawQuery, unescaped, r.URL.Path} {
		if tdkey.Contains([]byte(text)) {
			return misplacedKeyError("the URL")
		}
	}
	for name, values := range r.Header {
		if name != "Authorization" && slices.ContainsFunc(values, containsKey) {
			return misplacedKeyError("another header")
		}
	}
	return nil
}

func containsKey(text string) bool { return tdkey.Contains([]byte(text)) }

// misplacedKeyError reports to the caller where a key was found.
func misplacedKeyError(location string) error {
	return refused(tarragondeal.ReasonKeyMisplaced,
		"a key stands in "+location+"; send it as Authorization: Bearer only, and have this one replaced")
}

// bearerKey returns the valid key in the Authorization header.
func bearerKey(v *tarragondeal.View, r *http.Request) (*tarragondeal.Key, error) {
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

// readBody reads a request's body within the limits of size and time, and
// refuses a body or trailer that contains a key.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if e := r.Header.Get("Content-Encoding"); e != "" && e != "identity" {
		return nil, refused(tarragondeal.ReasonBadRequest, "encoded bodies are not taken")
	}
	if r.ContentLength > f.opt.MaxBody {
		return nil, f.tooLargeError()
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.opt.BodyTimeout))
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, f.opt.MaxBody))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, f.readError(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	for _, values := range r.Trailer {
		if slices.ContainsFunc(values, containsKey) {
			return nil, misplacedKeyError("a trailer")
		}
	}
	if tdkey.Contains(buf.Bytes()) {
		return nil, misplacedKeyError("the body")
	}
	return buf.Bytes(), nil
}

func (f *Front) tooLargeError() error {
	return refused(tarragondeal.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", f.opt.MaxBody))
}

// readError returns the refusal for an error from reading the body.
func (f *Front) readError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return f.tooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(tarragondeal.ReasonSlow, fmt.Sprintf("the body did not come within %s", f.opt.BodyTimeout))
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refused(tarragondeal.ReasonBadRequest, "the body ended before its announced length")
	default:
		return refused(tarragondeal.ReasonBadRequest, "the body can't be read")
	}
}

// servicePath returns the path and query to call at the service, without the
// prefix that names the route.
func servicePath(r *http.Request, route string) (string, error) {
	prefix := "/services/" + route
	plain := strings.TrimPrefix(r.URL.Path, prefix)
	if plain == "" || plain[0] != '/' || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return "", refused(tarragondeal.ReasonBadRequest, "the path has empty or dotted parts")
	}
	if slices.Contains(internalPaths, strings.TrimSuffix(plain, "/")) {
		return "", refused(tarragondeal.ReasonNoRoute, "nothing is served at this path")
	}
	out := (&url.URL{Path: plain}).EscapedPath()
	if r.URL.RawQuery != "" {
		out += "?" + r.URL.RawQuery
	}
	return out, nil
}

// callerRequestID returns the request id set by the caller, if any.
func callerRequestID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderRequest)
	if len(id) > maxRequestID {
		return "", refused(tarragondeal.ReasonBadRequest, fmt.Sprintf("%s is longer than %d bytes", HeaderRequest, maxRequestID))
	}
	return id, nil
}
