package session

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/finding"
)

var (
	oldKey       = []byte("the first key of the cell")
	newKey       = []byte("the second key of the cell")
	start        = time.Unix(1000, 0).UTC()
	validSession = &Session{ID: "s", Service: "desk", Target: "t1", Zone: "z1", Expires: start.Add(time.Hour)}
)

// Guards against forged or modified tokens, and against key rotation that ends open sessions.
func TestVerify(t *testing.T) {
	old, err := New(oldKey).Sign(validSession)
	is.New(t).NoErr(err)
	body, tag, _ := strings.Cut(old, ".")
	otherTarget, _ := New(newKey).Sign(&Session{Target: "t2", Expires: validSession.Expires})
	otherBody, _, _ := strings.Cut(otherTarget, ".")
	cases := []struct {
		name  string
		keys  [][]byte
		token string
		now   time.Time
		want  error
	}{
		{"genuine", [][]byte{oldKey}, old, start, nil},
		{"key replaced", [][]byte{newKey, oldKey}, old, start, nil},
		{"key withdrawn", [][]byte{newKey}, old, start, ErrInvalid},
		{"expired", [][]byte{oldKey}, old, start.Add(time.Hour), ErrExpired},
		{"another body", [][]byte{oldKey}, otherBody + "." + tag, start, ErrInvalid},
		{"tag cut", [][]byte{oldKey}, body + "." + tag[:20], start, ErrInvalid},
		{"no tag", [][]byte{oldKey}, body, start, ErrInvalid},
		{"empty", [][]byte{oldKey}, "", start, ErrInvalid},
		{"too long", [][]byte{oldKey}, old + strings.Repeat("A", MaxTokenBytes), start, ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := New(c.keys...).Verify(c.token, c.now)
			is.True(errors.Is(err, c.want))
			is.Equal(got != nil, c.want == nil)
			if got != nil {
				is.Equal(*got, *validSession)
			}
		})
	}
}

func TestCheckKeys(t *testing.T) {
	is := is.New(t)
	var l finding.List
	CheckKeys(&l, "sessionKeys", oldKey, newKey)
	is.Equal(len(l), 0)
	CheckKeys(&l, "sessionKeys")
	CheckKeys(&l, "sessionKeys", []byte("short"))
	is.Equal(len(l), 2)
}

// Guards against accepting any token other than the signed one.
func FuzzVerify(f *testing.F) {
	s := New(oldKey)
	token, _ := s.Sign(validSession)
	f.Add(token)
	f.Add("a.b")
	f.Fuzz(func(t *testing.T, in string) {
		if v, err := s.Verify(in, start); (err == nil) != (in == token) || (v != nil) != (err == nil) {
			t.Fatalf("%q verified as %v, %v", in, v, err)
		}
	})
}
