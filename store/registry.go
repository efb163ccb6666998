package store

import (
	"sort"

	"github.com/rotisserie/eris"
)

// Opener creates a Store for an endpoint. The format of the endpoint depends on the plug-in.
type Opener func(endpoint string) (*Store, error)

var openers = map[string]Opener{}

// Register adds a plug-in under a name. Plug-ins call it from init.
func Register(name string, o Opener) { openers[name] = o }

// Names returns the sorted names of the registered plug-ins.
func Names() []string {
	names := make([]string, 0, len(openers))
	for name := range openers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Open creates a Store with the named plug-in.
func Open(name, endpoint string) (*Store, error) {
	open, ok := openers[name]
	if !ok {
		return nil, eris.Errorf("unknown store plug-in %q; available: %v", name, Names())
	}
	return open(endpoint)
}
