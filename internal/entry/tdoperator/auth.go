package tdoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Token is the bearer token of an operator.
type Token struct {
	Name string // Name of the operator, as shown in the history.
	Text string // Empty tokens are ignored.
}

// tokens authenticates operators. It keeps only the digests of their tokens.
type tokens []tokenDigest

type tokenDigest struct {
	name   string
	digest [sha256.Size]byte
}

func newTokens(list []Token) tokens {
	out := make(tokens, 0, len(list))
	for _, t := range list {
		if t.Text != "" {
			out = append(out, tokenDigest{name: t.Name, digest: sha256.Sum256([]byte(t.Text))})
		}
	}
	return out
}

// lookup returns the name of the operator with the given token. It compares the
// digest with those of all tokens, each in constant time.
func (ts tokens) lookup(text string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(text))
	for _, t := range ts {
		if subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1 {
			name, ok = t.name, true
		}
	}
	return name, ok
}

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorFromContext returns the name of the operator who made the request.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// bodyTimeout is the maximum time for reading a request body.
const bodyTimeout = 30 * time.Second

// handler handles a request and returns the value to send as JSON, or an error.
type handler func(r *http.Request, p httprouter.Params) (any, error)

// auth returns a handler that authenticates the operator, limits the size and
// the read time of the body, calls h and writes the response.
func (a *API) auth(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		text, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := a.tokens.lookup(text)
		if !bearer || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{Status: http.StatusUnauthorized, Code: CodeUnauthorised, Message: "the operator's token is missing or wrong"})
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		out, err := h(r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)), p)
		if err != nil {
			writeError(w, a.toError(err))
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}
