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
	is.True(s.Delay(1, now, now) <= 0)
	is.Equal(s.Send(first, now), int64(1))
	is.Equal(s.Delay(1, now, now), 25*time.Millisecond)
	now = now.Add(30 * time.Millisecond)
	is.Equal(s.Delay(1, now, now), 12*time.Millisecond) // the first commit is in flight
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

// Guards against changes that wait for more of them although there are many: in a cell with a thousand starts a second each
// commit of a check waited 12 ms on average, three times. And against commits that grow with the load, or that are sent for
// each change in a cell with few.
func TestBusyCellCommitsMoreOften(t *testing.T) {
	const seconds = 10
	for _, c := range []struct {
		perSecond    int
		mostWait     time.Duration
		fewest, most int
	}{
		{30, 13 * time.Millisecond, 0, 30},
		{200, 13 * time.Millisecond, 30, 40},
		{1000, 6 * time.Millisecond, 100, 125},
		{4000, 6 * time.Millisecond, 100, 180},
	} {
		is := is.New(t)
		start := time.Now()
		s := commitstream.New("commit/", retry.New())
		var waiting []time.Time
		var waited time.Duration
		commits, changes := 0, 0
		for ms := range seconds * 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for ; changes < ms*c.perSecond/1000; changes++ {
				waiting = append(waiting, now)
			}
			if len(waiting) == 0 || len(waiting) < 28 && s.Delay(len(waiting), waiting[0], now) > 0 {
				continue
			}
			stream := s.Free()
			s.Send(stream, now)
			for range min(len(waiting), 28) {
				waited += now.Sub(waiting[0])
				waiting = waiting[1:]
			}
			commits++
			s.Succeed(stream, int64(commits))
		}
		t.Logf("%d changes a second: %d commits a second, a change waits %v", c.perSecond, commits/seconds, waited/time.Duration(changes))
		is.True(waited/time.Duration(changes) <= c.mostWait)
		is.True(commits/seconds >= c.fewest && commits/seconds <= c.most)
	}
}
