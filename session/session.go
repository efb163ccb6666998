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
	// DefaultTTL is how long a token holds.
	DefaultTTL = 12 * time.Hour
	// MaxTokenBytes bounds a token.
	MaxTokenBytes = 1024
	// MinKeyBytes is the length of the shortest key.
	MinKeyBytes = 16
)

// Errors of Open.
var (
	// ErrInvalid means that no gate of this cell made the token.
	ErrInvalid = errors.New("session token is not valid")
	// ErrExpired means that the token was good once.
	ErrExpired = errors.New("session token has expired")
)

// Session is what a token says.
type Session struct {
	ID      string    `json:"id"`
	Service string    `json:"service"`
	Target  string    `json:"target"`
	Zone    string    `json:"zone"`
	Expires time.Time `json:"expires"`
}

// Signer makes and opens tokens; it is safe for concurrent use.
type Signer struct{ keys [][]byte }

// New returns a Signer that signs with the first key and accepts all of them, so that a key can be
// replaced while sessions go on.
func New(keys ...[]byte) *Signer { return &Signer{keys: keys} }

// CheckKeys gives the findings of keys that come from settings.
func CheckKeys(l *finding.List, place string, keys ...[]byte) {
	if len(keys) == 0 {
		l.Add(place, "must have at least one key")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			l.Add(place, "each key must have at least %d bytes", MinKeyBytes)
		}
	}
}

var encoding = base64.RawURLEncoding.Strict()

// Sign gives the token of a session.
func (s *Signer) Sign(v *Session) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	body := encoding.EncodeToString(raw)
	return body + "." + encoding.EncodeToString(sum(s.keys[0], body)), nil
}

// Verify gives the session of a token that is genuine and has not expired.
func (s *Signer) Verify(token string, now time.Time) (*Session, error) {
	body, tag, ok := strings.Cut(token, ".")
	if !ok || len(token) > MaxTokenBytes {
		return nil, ErrInvalid
	}
	got, err := encoding.DecodeString(tag)
	if err != nil || !s.genuine(body, got) {
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

func (s *Signer) genuine(body string, got []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(got, sum(key, body)) {
			return true
		}
	}
	return false
}

func sum(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}
