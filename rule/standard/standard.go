// Package standard registers all kinds of actions and provides the rules that a new cell starts with.
package standard

import (
	_ "embed" // For the document.

	"turmericgap/rule"
	_ "turmericgap/rule/limit"   // Registers its action.
	_ "turmericgap/rule/place"   // Registers its action.
	_ "turmericgap/rule/preempt" // Registers its action.
	_ "turmericgap/rule/queue"   // Registers its action.
	_ "turmericgap/rule/quota"   // Registers its action.
	_ "turmericgap/rule/refuse"  // Registers its action.
	_ "turmericgap/rule/retry"   // Registers its action.
	_ "turmericgap/rule/route"   // Registers its action.
)

//go:embed standard.json
var document []byte

// Document returns the JSON of the standard rules.
func Document() []byte { return append([]byte(nil), document...) }

// List returns the standard rules, which apply until operators store their own.
func List() *rule.List {
	l, err := rule.Parse(document)
	if err != nil {
		panic(err) // The document is part of the program, and a test compiles it.
	}
	return l
}
