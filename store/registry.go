package store

import (
	"sort"

	"github.com/rotisserie/eris"
)

// Opener makes a Store for an endpoint, whose form is the plug-in's own.
type Opener func(endpoint string) (*Store, error)

var openers = map[string]Opener{}

// Register adds a plug-in under a name; plug-ins call it from init.
func Register(name string, o Opener) { openers[name] = o }

// Names lists the plug-ins that this program knows.
func Names() []string {
	names := make([]string, 0, len(openers))
	for name := range openers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Open makes the Store of the named plug-in.
func Open(name, endpoint string) (*Store, error) {
	open, ok := openers[name]
	if !ok {
		return nil, eris.Errorf("store %q is not known; known are %v", name, Names())
	}
	return open(endpoint)
}
