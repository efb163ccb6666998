package rule

import (
	"slices"
	"strings"
)

// Explanation tells why the rules decide a request as they do.
type Explanation struct {
	Version int64 `json:"version"`
	// DecidedBy is the id of the rule that decided; empty if none holds.
	DecidedBy string `json:"decided"`
	// Results holds the rules up to the deciding one, in order.
	Results []RuleResult `json:"asked"`
}

// RuleResult is what became of one rule.
type RuleResult struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"holds"`
	// FailedCondition is the first part of the condition that does not hold.
	FailedCondition string `json:"failed,omitempty"`
	// FieldValues are those that the failed part read, such as `class is "sweep"`.
	FieldValues string `json:"values,omitempty"`
}

// Explain goes through the rules as Decide does, for a past or hypothetical request.
func (l *List) Explain(r *Request) Explanation {
	x := Explanation{Version: l.document.Version, Results: []RuleResult{}}
	for i := range l.rules {
		c := &l.rules[i]
		v := RuleResult{Rule: c.effect.Rule, Matched: c.condition.holds(r)}
		if v.Matched {
			x.DecidedBy, x.Results = c.effect.Rule, append(x.Results, v)
			return x
		}
		v.FailedCondition, v.FieldValues = c.condition.failed(r)
		x.Results = append(x.Results, v)
	}
	return x
}

func (c *condition) failed(r *Request) (text, values string) {
	for _, p := range c.parts {
		if run(p.program, r) {
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
