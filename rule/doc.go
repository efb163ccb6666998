// Package rule holds the operators' ordered rules of the form "when this holds, then do that": the
// first rule whose condition holds decides. Conditions are expr-lang expressions over Request.
// Actions are plug-ins in the folders below, which register themselves by their kind.
package rule
