package rule

import (
	"slices"
	"strings"
)

// Explanation describes how the rules decide a request.
type Explanation struct {
	Version int64 `json:"version"`
	// DecidedBy is the id of the rule that decided; empty if no rule matches.
	DecidedBy string `json:"decided" msgpack:"Decided"`
	// Results lists the evaluated rules in order, up to the deciding one.
	Results []RuleResult `json:"asked" msgpack:"Asked"`
}

// RuleResult is the result of evaluating one rule.
type RuleResult struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"holds" msgpack:"Holds"`
	// FailedCondition is the first part of the condition that was not met.
	FailedCondition string `json:"failed,omitempty" msgpack:"Failed"`
	// FieldValues lists the values that the failed part read, such as `class is "sweep"`.
	FieldValues string `json:"values,omitempty" msgpack:"Values"`
}

// Explain evaluates the rules like Decide, for a past or hypothetical request.
func (l *List) Explain(r *Request) Explanation {
	explanation := Explanation{Version: l.document.Version, Results: []RuleResult{}}
	for i := range l.rules {
		rule := &l.rules[i]
		result := RuleResult{Rule: rule.effect.Rule, Matched: rule.condition.matches(r)}
		if result.Matched {
			explanation.DecidedBy, explanation.Results = rule.effect.Rule, append(explanation.Results, result)
			return explanation
		}
		result.FailedCondition, result.FieldValues = rule.condition.firstFailed(r)
		explanation.Results = append(explanation.Results, result)
	}
	return explanation
}

func (c *condition) firstFailed(r *Request) (text, values string) {
	for _, p := range c.parts {
		if evaluate(p.program, r) {
			continue
		}
		var read []string
		for _, name := range p.fields {
			value, _ := valueOf(name, r)
			if line := name + " is " + value; !slices.Contains(read, line) {
				read = append(read, line)
			}
		}
		return p.text, strings.Join(read, ", ")
	}
	return "", ""
}
