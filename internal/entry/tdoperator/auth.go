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

// Token is what one operator's calls carry.
type Token struct {
	Name string // Who it is, for the history.
	Text string
}

// tokens tells who calls.
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

// who returns the name that a token stands for. It compares with every
// token, in constant time.
func (ts tokens) who(text string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(text))
	for _, t := range ts {
		if subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1 {
			name, ok = t.name, true
		}
	}
	return name, ok
}

type operatorName struct{}

// nameOf returns the operator of a call that was let in.
func nameOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorName{}).(string)
	return name
}

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// handler is a call that returns its answer or an error.
type handler func(r *http.Request, p httprouter.Params) (any, error)

// auth lets operators in, and writes what the call returned.
func (o *Operator) auth(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		text, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := o.tokens.who(text)
		if !bearer || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{Status: http.StatusUnauthorized, Code: CodeUnauthorised, Message: "the operator's token is missing or wrong"})
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		out, err := h(r.WithContext(context.WithValue(r.Context(), operatorName{}, name)), p)
		if err != nil {
			writeError(w, o.describe(err))
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}
