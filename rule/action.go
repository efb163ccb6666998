package rule

import (
	"bytes"
	"encoding/json"
	"sort"

	"turmericgap/finding"
)

// Kind is a plug-in for one kind of action.
type Kind struct {
	Name string
	// Apply decodes the action's parameters and sets its part of the effect.
	Apply func(with json.RawMessage, e *Effect) finding.List
}

var kinds = map[string]Kind{}

// Register makes a kind of action known; it is called from the init of its package.
func Register(k Kind) { kinds[k.Name] = k }

// Kinds gives the names of all registered kinds in order.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Decode fills into with an action's parameters and refuses unknown ones.
func Decode(with json.RawMessage, into any) finding.List {
	var l finding.List
	if len(with) == 0 {
		return l
	}
	dec := json.NewDecoder(bytes.NewReader(with))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		l.Add("with", "%s", err.Error())
	}
	return l
}

// CheckMin adds a finding unless value is at least least.
func CheckMin(l *finding.List, place string, value, least int64) {
	if value < least {
		l.Add("with."+place, "must be at least %d", least)
	}
}
