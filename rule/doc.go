// Package rule evaluates the operators' ordered rules of the form "when this holds, then do that". The first rule
// whose condition holds decides. Conditions are expr-lang expressions over Request. Actions are plug-ins in the
// subfolders, which register themselves by kind.
package rule
