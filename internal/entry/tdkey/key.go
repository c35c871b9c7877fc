// Package tdkey issues callers' keys, checks them, finds them where they
// must not be, and ends running requests when their key is withdrawn.
//
// # Usage
//
//	text, key, err := tdkey.Issue("depot", "roadside")
//	// Show text once; publish key with the set.
//	k, err := tdkey.Check(view, text)
//
// A key reads td_NAME_SECRET. Only a salted digest of the secret is kept.
// A Guard follows the set in force:
//
//	guard := tdkey.NewGuard(config)
//	go func() { done <- guard.Run(ctx) }()
//	release := guard.Hold(key, cut)
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
	// secretText is the length of a secret as it stands in a key.
	secretText = (secretBytes*8 + 5) / 6
	// maxNameBytes bounds a key's name.
	maxNameBytes = 128
)

// Issue makes a new key. The text is the only copy of the secret.
func Issue(name, workspace string) (text string, key tarragondeal.Key, err error) {
	if !nameFits(name) {
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

func nameFits(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for n := range len(name) {
		if !nameByte(name[n]) {
			return false
		}
	}
	return true
}

func nameByte(c byte) bool { return secretByte(c) || c == '.' }

func secretByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

func digest(salt, secret []byte) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write(secret)
	return h.Sum(nil)
}

// nobody stands in for the key of an unknown name, so that a check takes as
// long as for a known one.
var nobody = &tarragondeal.Key{
	Salt:   base64.StdEncoding.EncodeToString(make([]byte, saltBytes)),
	Digest: base64.StdEncoding.EncodeToString(make([]byte, sha256.Size)),
}

// Check returns the key that a text stands for. The error is a
// *tarragondeal.RefusedError, which never repeats the text. It asks the view
// each time, so that a withdrawal holds as soon as the view does.
func Check(v *tarragondeal.View, text string) (*tarragondeal.Key, error) {
	name, secret, ok := split(text)
	key := v.Keys[name]
	known := key != nil
	if !known {
		key = nobody
	}
	if fits := matches(key, secret); !fits || !ok || !known {
		return nil, refuse(tarragondeal.ReasonBadKey, "the key is not known")
	}
	if key.Withdrawn {
		return nil, refuse(tarragondeal.ReasonKeyWithdrawn, "the key has been withdrawn")
	}
	return key, nil
}

// split takes a key's text apart. The secret has a fixed length, and both
// parts may hold underscores.
func split(text string) (name string, secret []byte, ok bool) {
	secret = make([]byte, secretBytes)
	rest, ok := strings.CutPrefix(text, prefix)
	end := len(rest) - secretText - 1
	if !ok || end < 1 || rest[end] != '_' || !nameFits(rest[:end]) {
		return "", secret, false
	}
	got, err := base64.RawURLEncoding.Strict().DecodeString(rest[end+1:])
	if err != nil || len(got) != secretBytes { // Line ends in it are passed over.
		return "", secret, false
	}
	return rest[:end], got, true
}

func matches(k *tarragondeal.Key, secret []byte) bool {
	salt, errSalt := base64.StdEncoding.DecodeString(k.Salt)
	want, errWant := base64.StdEncoding.DecodeString(k.Digest)
	if errSalt != nil || errWant != nil {
		return false
	}
	return subtle.ConstantTimeCompare(digest(salt, secret), want) == 1
}

// Contains reports whether a text holds anything that has the form of a key.
// It looks at each byte once, whatever the text.
func Contains(text []byte) bool {
	if !bytes.Contains(text, []byte(prefix)) {
		return false
	}
	name := -1 // Where a name begins, in the present run of a key's bytes.
	run := 0   // Of bytes that a secret may have.
	for n, c := range text {
		switch {
		case secretByte(c):
			run++
		case nameByte(c):
			run = 0
		default:
			name, run = -1, 0
			continue
		}
		if name < 0 && bytes.HasSuffix(text[:n+1], []byte(prefix)) {
			name = n + 1
		}
		end := n - secretText // Of the name.
		if name >= 0 && run >= secretText && end > name && text[end] == '_' {
			return true
		}
	}
	return false
}

func refuse(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}
