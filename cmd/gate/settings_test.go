package main

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An operator can find a setting that is missing from the handbook only by reading the code.
func TestEverySettingIsInTheHandbook(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, name := range settingNames(reflect.TypeFor[settings](), "") {
		if !strings.Contains(string(raw), "`"+name+"` |") {
			t.Errorf("%s is not in docs/OPERATIONS.md", name)
		}
	}
}

func settingNames(t reflect.Type, above string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := above + f.Tag.Get("json")
		switch {
		case f.Anonymous:
			out = append(out, settingNames(f.Type, above)...)
		case f.Type.Kind() == reflect.Struct:
			out = append(out, settingNames(f.Type, name+".")...)
		default:
			out = append(out, name)
		}
	}
	return out
}
