package rule

import (
	"slices"
	"strings"
)

// Explanation tells why the rules decide a request as they do.
type Explanation struct {
	Version int64 `json:"version"`
	// Decided is the id of the rule that decided; empty if none holds.
	Decided string `json:"decided"`
	// Asked holds the rules up to the deciding one, in order.
	Asked []Verdict `json:"asked"`
}

// Verdict is what became of one rule.
type Verdict struct {
	Rule  string `json:"rule"`
	Holds bool   `json:"holds"`
	// Failed is the first part of the condition that does not hold.
	Failed string `json:"failed,omitempty"`
	// Values are those that the failed part read, such as `class is "sweep"`.
	Values string `json:"values,omitempty"`
}

// Explain goes through the rules as Decide does, for a past or hypothetical request.
func (l *List) Explain(r *Request) Explanation {
	x := Explanation{Version: l.document.Version, Asked: []Verdict{}}
	for i := range l.rules {
		c := &l.rules[i]
		v := Verdict{Rule: c.effect.Rule, Holds: c.condition.holds(r)}
		if v.Holds {
			x.Decided, x.Asked = c.effect.Rule, append(x.Asked, v)
			return x
		}
		v.Failed, v.Values = c.condition.failed(r)
		x.Asked = append(x.Asked, v)
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
