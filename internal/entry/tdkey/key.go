// Package tdkey issues and checks callers' keys, detects keys in text, and
// cancels running requests when their key is withdrawn.
//
// # Usage
//
//	text, key, err := tdkey.Issue("depot", "roadside")
//	// Show text once; publish key with the configuration.
//	k, err := tdkey.Check(view, text)
//
// A key has the form td_NAME_SECRET. Only a salted digest of the secret is
// stored. A Guard cancels requests when the configuration withdraws their key:
//
//	guard := tdkey.NewGuard(config)
//	go func() { done <- guard.Run(ctx) }()
//	release := guard.Watch(key, cancel)
//	defer release()
package tdkey

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

const (
	prefix      = "td_"
	secretBytes = 32
	saltBytes   = 16
	// secretTextLen is the length of an encoded secret.
	secretTextLen = (secretBytes*8 + 5) / 6
	// maxNameBytes is the maximum length of a key's name.
	maxNameBytes = 128
)

// Issue creates a key. The returned text is the only copy of the secret.
func Issue(name, workspace string) (text string, key tarragondeal.Key, err error) {
	if !validName(name) {
		return "", key, eris.Errorf("a key's name has 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes)
	}
	secret := make([]byte, secretBytes)
	salt := make([]byte, saltBytes)
	if _, err = rand.Read(secret); err != nil {
		return "", key, err
	}
	if _, err = rand.Read(salt); err != nil {
		return "", key, err
	}
	key = tarragondeal.Key{
		Name: name, Workspace: workspace,
		Salt:   base64.StdEncoding.EncodeToString(salt),
		Digest: base64.StdEncoding.EncodeToString(digest(salt, secret)),
	}
	return prefix + name + "_" + base64.RawURLEncoding.EncodeToString(secret), key, nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for n := range len(name) {
		if !isNameByte(name[n]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool { return isSecretByte(c) || c == '.' }

func isSecretByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

func digest(salt, secret []byte) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write(secret)
	return h.Sum(nil)
}

// unknownKey is compared with if the name is unknown, so that a check takes as
// long as for a known name.
var unknownKey = &tarragondeal.Key{
	Salt:   base64.StdEncoding.EncodeToString(make([]byte, saltBytes)),
	Digest: base64.StdEncoding.EncodeToString(make([]byte, sha256.Size)),
}

// Check returns the key in v whose name and secret are those of text. The error
// is a *tarragondeal.RefusedError, which never contains the text. Check caches
// nothing, so that a withdrawal applies as soon as v contains it.
func Check(v *tarragondeal.View, text string) (*tarragondeal.Key, error) {
	name, secret, ok := parse(text)
	key := v.Keys[name]
	known := key != nil
	if !known {
		key = unknownKey
	}
	if match := matchesDigest(key, secret); !match || !ok || !known {
		return nil, refused(tarragondeal.ReasonBadKey, "the key is not known")
	}
	if key.Withdrawn {
		return nil, refused(tarragondeal.ReasonKeyWithdrawn, "the key has been withdrawn")
	}
	return key, nil
}

// parse splits a key's text into name and secret. Both may contain underscores,
// but the encoded secret has a fixed length. If ok is false, secret is secretBytes
// long and zero.
func parse(text string) (name string, secret []byte, ok bool) {
	secret = make([]byte, secretBytes)
	rest, ok := strings.CutPrefix(text, prefix)
	end := len(rest) - secretTextLen - 1
	if !ok || end < 1 || rest[end] != '_' || !validName(rest[:end]) {
		return "", secret, false
	}
	got, err := base64.RawURLEncoding.Strict().DecodeString(rest[end+1:])
	if err != nil || len(got) != secretBytes { // The decoder ignores line breaks.
		return "", secret, false
	}
	return rest[:end], got, true
}

func matchesDigest(k *tarragondeal.Key, secret []byte) bool {
	salt, errSalt := base64.StdEncoding.DecodeString(k.Salt)
	want, errWant := base64.StdEncoding.DecodeString(k.Digest)
	if errSalt != nil || errWant != nil {
		return false
	}
	return subtle.ConstantTimeCompare(digest(salt, secret), want) == 1
}

// Contains reports whether text contains anything in the form of a key, in time
// linear in its length.
func Contains(text []byte) bool {
	if !bytes.Contains(text, []byte(prefix)) {
		return false
	}
	name := -1 // Start of a name in the current run of name bytes, or -1.
	run := 0   // Length of the current run of secret bytes.
	for n, c := range text {
		switch {
		case isSecretByte(c):
			run++
		case isNameByte(c):
			run = 0
		default:
			name, run = -1, 0
			continue
		}
		if name < 0 && bytes.HasSuffix(text[:n+1], []byte(prefix)) {
			name = n + 1
		}
		end := n - secretTextLen // End of the name.
		if name >= 0 && run >= secretTextLen && end > name && text[end] == '_' {
			return true
		}
	}
	return false
}

func refused(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}
