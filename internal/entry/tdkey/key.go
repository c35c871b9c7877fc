// Package tdkey issues callers' keys and checks them.
//
// # Usage
//
//	text, key, err := tdkey.Issue("depot", "roadside")
//	// Show text once; publish key with the set.
//	k, err := tdkey.Check(view, text)
//
// A key reads td_NAME_SECRET. Only a salted digest of the secret is kept.
package tdkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"tarragondeal"
)

const (
	prefix      = "td"
	secretBytes = 32
	saltBytes   = 16
)

// Issue makes a new key. The text is the only copy of the secret.
func Issue(name, workspace string) (text string, key tarragondeal.Key, err error) {
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
	return strings.Join([]string{prefix, name, base64.RawURLEncoding.EncodeToString(secret)}, "_"), key, nil
}

func digest(salt, secret []byte) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write(secret)
	return h.Sum(nil)
}

// Check returns the key that a text stands for. The error is a
// *tarragondeal.RefusedError, which never repeats the text.
func Check(v *tarragondeal.View, text string) (*tarragondeal.Key, error) {
	name, secret, ok := split(text)
	key := v.Keys[name]
	if !ok || key == nil || !matches(key, secret) {
		return nil, refuse(tarragondeal.ReasonBadKey, "the key is not known")
	}
	if key.Withdrawn {
		return nil, refuse(tarragondeal.ReasonKeyWithdrawn, "the key has been withdrawn")
	}
	return key, nil
}

func split(text string) (name string, secret []byte, ok bool) {
	parts := strings.SplitN(text, "_", 3)
	if len(parts) != 3 || parts[0] != prefix {
		return "", nil, false
	}
	secret, err := base64.RawURLEncoding.DecodeString(parts[2])
	return parts[1], secret, err == nil
}

func matches(k *tarragondeal.Key, secret []byte) bool {
	salt, errSalt := base64.StdEncoding.DecodeString(k.Salt)
	want, errWant := base64.StdEncoding.DecodeString(k.Digest)
	if errSalt != nil || errWant != nil {
		return false
	}
	return subtle.ConstantTimeCompare(digest(salt, secret), want) == 1
}

func refuse(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}
