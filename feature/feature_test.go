package feature

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a misspelled choice that leaves a feature in effect unnoticed.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]string{"speed=off", "copies=on"})
	is.NoErr(err)
	is.True(!s.Enabled(Speed, true))
	is.True(s.Enabled(Copies, false))
	is.True(s.Enabled(Notice, true) && !s.Enabled(Notice, false))
	is.Equal(s.Choices(), []string{"copies=on", "speed=off"})
	_, err = Parse([]string{"spede=off", "speed=of", "speed"})
	is.True(err != nil)
	var unset *Set
	is.True(unset.Enabled(Speed, true) && !unset.Enabled(Speed, false))
}
