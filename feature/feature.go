package feature

import (
	"maps"
	"slices"
	"strings"

	"turmericgap/finding"
)

// Name identifies an optional part of the scheduler.
type Name string

// The optional parts.
const (
	// Restart distinguishes instances of a worker that share an ID.
	Restart Name = "restart"
	// Admission refuses works that can no longer be useful when they would end.
	Admission Name = "admission"
	// Preemption stops tasks for urgent ones.
	Preemption Name = "preemption"
	// Speed places tasks by the learned speed of workers.
	Speed Name = "speed"
	// Notice moves tasks away from workers that have announced that they leave.
	Notice Name = "notice"
)

// Names returns all names in alphabetical order.
func Names() []Name { return []Name{Admission, Notice, Preemption, Restart, Speed} }

// Mode is an operator's choice for a feature.
type Mode string

// The modes.
const (
	On  Mode = "on"
	Off Mode = "off"
	// Auto follows the settings, the configuration and observations.
	Auto Mode = "auto"
)

// Set holds the operators' choices. A nil Set has Auto for all features.
type Set struct{ modes map[Name]Mode }

// Parse reads choices of the form NAME=MODE; the error lists all findings.
func Parse(choices []string) (*Set, error) {
	s := &Set{modes: make(map[Name]Mode)}
	var found finding.List
	for _, c := range choices {
		name, mode, _ := strings.Cut(c, "=")
		switch {
		case !slices.Contains(Names(), Name(name)):
			found.Add(c, "unknown feature %q", name)
		case !slices.Contains([]Mode{On, Off, Auto}, Mode(mode)):
			found.Add(c, "mode is %q, must be on, off or auto", mode)
		}
		s.modes[Name(name)] = Mode(mode)
	}
	return s, found.Err()
}

// Mode returns the operator's choice for a feature.
func (s *Set) Mode(name Name) Mode {
	if s == nil || s.modes[name] == "" {
		return Auto
	}
	return s.modes[name]
}

// Enabled reports whether a feature is in effect, given what Auto calls for.
func (s *Set) Enabled(name Name, auto bool) bool {
	switch s.Mode(name) {
	case On:
		return true
	case Off:
		return false
	case Auto:
	}
	return auto
}

// Choices returns the choices that were made, in the form that Parse reads.
func (s *Set) Choices() []string {
	if s == nil {
		return nil
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.modes)) {
		out = append(out, string(name)+"="+string(s.modes[name]))
	}
	return out
}
