package feature

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a misspelled choice that leaves a feature in effect unnoticed.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]string{"speed=off", "notice=on"})
	is.NoErr(err)
	is.True(!s.Enabled(Speed, true))
	is.True(s.Enabled(Notice, false))
	is.True(s.Enabled(Restart, true) && !s.Enabled(Restart, false))
	is.Equal(s.Choices(), []string{"notice=on", "speed=off"})
	_, err = Parse([]string{"spede=off", "speed=of", "speed"})
	is.True(err != nil)
	var unset *Set
	is.True(unset.Enabled(Speed, true) && !unset.Enabled(Speed, false))
}
