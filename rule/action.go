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

// Register adds a kind of action. It is called from the init function of the package that implements it.
func Register(k Kind) { kinds[k.Name] = k }

// Kinds returns the sorted names of all registered kinds.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Decode decodes an action's parameters into target, and reports unknown fields.
func Decode(with json.RawMessage, target any) finding.List {
	var l finding.List
	if len(with) == 0 {
		return l
	}
	dec := json.NewDecoder(bytes.NewReader(with))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		l.Add("with", "%s", err.Error())
	}
	return l
}

// CheckMin adds a finding if value is smaller than minimum.
func CheckMin(l *finding.List, field string, value, minimum int64) {
	if value < minimum {
		l.Add("with."+field, "must be at least %d", minimum)
	}
}
