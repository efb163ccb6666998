package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"turmericgap/finding"
)

// Limits.
const (
	// DefaultTTL is the lifetime of a token.
	DefaultTTL = 12 * time.Hour
	// MaxTokenBytes limits the length of a token.
	MaxTokenBytes = 1024
	// MinKeyBytes is the minimum length of a key.
	MinKeyBytes = 16
)

// Errors returned by Verify.
var (
	// ErrInvalid means that the token was not signed with a key of this cell.
	ErrInvalid = errors.New("session token is not valid")
	// ErrExpired means that the token is genuine but has expired.
	ErrExpired = errors.New("session token has expired")
)

// Session is the content of a token.
type Session struct {
	ID      string    `json:"id"`
	Service string    `json:"service"`
	Target  string    `json:"target"`
	Zone    string    `json:"zone"`
	Expires time.Time `json:"expires"`
}

// Signer signs and verifies tokens; it is safe for concurrent use.
type Signer struct{ keys [][]byte }

// New returns a Signer that signs with the first key and accepts all keys, so that a key can be
// replaced while sessions are open.
func New(keys ...[]byte) *Signer { return &Signer{keys: keys} }

// CheckKeys adds findings for invalid keys of the settings.
func CheckKeys(l *finding.List, path string, keys ...[]byte) {
	if len(keys) == 0 {
		l.Add(path, "must have at least one key")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			l.Add(path, "each key must have at least %d bytes", MinKeyBytes)
		}
	}
}

var encoding = base64.RawURLEncoding.Strict()

// Sign returns the signed token of a session.
func (s *Signer) Sign(v *Session) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	body := encoding.EncodeToString(raw)
	return body + "." + encoding.EncodeToString(computeTag(s.keys[0], body)), nil
}

// Verify returns the session of a genuine token that has not expired.
func (s *Signer) Verify(token string, now time.Time) (*Session, error) {
	body, tag, ok := strings.Cut(token, ".")
	if !ok || len(token) > MaxTokenBytes {
		return nil, ErrInvalid
	}
	got, err := encoding.DecodeString(tag)
	if err != nil || !s.hasValidTag(body, got) {
		return nil, ErrInvalid
	}
	raw, err := encoding.DecodeString(body)
	if err != nil {
		return nil, ErrInvalid
	}
	v := &Session{}
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, ErrInvalid
	}
	if !now.Before(v.Expires) {
		return nil, ErrExpired
	}
	return v, nil
}

func (s *Signer) hasValidTag(body string, got []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(got, computeTag(key, body)) {
			return true
		}
	}
	return false
}

func computeTag(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}
