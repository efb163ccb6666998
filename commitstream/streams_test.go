package commitstream_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/commitstream"
	"turmericgap/store/retry"
)

// Guards against a commit for each change under light load, and against holding back changes while a commit is in
// flight or after one was declined.
func TestPace(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := commitstream.New("commit/", retry.New(retry.Bounds(10*time.Millisecond, 10*time.Millisecond)))
	s.SetRevision("commit/0", 7)
	first := s.Free()
	is.Equal(*first, commitstream.Stream{Key: "commit/0", Revision: 7})
	is.True(s.Delay(now, now) <= 0)
	is.Equal(s.Send(first, now), int64(1))
	is.Equal(s.Delay(now, now), 25*time.Millisecond)
	now = now.Add(30 * time.Millisecond)
	is.Equal(s.Delay(now, now), 12*time.Millisecond) // the first commit is in flight
	is.True(!s.IsStuck(now, 30*time.Millisecond))
	is.True(s.IsStuck(now, 29*time.Millisecond))
	second := s.Free()
	is.Equal(second.Key, "commit/1")
	is.Equal(s.Send(second, now), int64(2))
	s.Succeed(first, 9)
	is.Equal(s.Free().Revision, int64(9))
	is.True(!s.Idle())
	s.Decline(second, now)
	is.True(s.Idle())
	is.True(s.RetryDelay(now) > 0)
}
