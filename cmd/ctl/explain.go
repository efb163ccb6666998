package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/rule"
)

type rulesExplain struct {
	opts  *commonOptions
	Rules string       `long:"rules" description:"a rule document instead of the rules in force"`
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

// explainOutput is the JSON output of rules explain.
type explainOutput struct {
	rule.Explanation
	// Rule is the rule that decided.
	Rule *rule.Rule `json:"rule,omitempty"`
}

// Execute evaluates the rules for the submission and prints the result of each.
func (x *rulesExplain) Execute([]string) error {
	raw, err := readFile(x.Args.File)
	if err != nil {
		return err
	}
	var spec job.Submission
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return finding.List{{Path: x.Args.File, Reason: err.Error()}}
	}
	if l := spec.Check(); len(l) > 0 {
		return l
	}
	list, err := x.ruleList()
	if err != nil {
		return err
	}
	var r rule.Request
	r.ForJob(time.Now(), &spec)
	out := explainOutput{Explanation: list.Explain(&r)}
	for _, each := range list.Document().Rules {
		if each.ID == out.DecidedBy {
			out.Rule = &each
		}
	}
	if x.opts.JSON {
		return printJSON(&out)
	}
	printExplanation(&out.Explanation)
	if out.Rule != nil {
		fmt.Println("  it does " + compactJSON(out.Rule.Then))
	}
	return nil
}

func (x *rulesExplain) ruleList() (*rule.List, error) {
	if x.Rules != "" {
		raw, err := readFile(x.Rules)
		if err != nil {
			return nil, err
		}
		return rule.Parse(raw)
	}
	ctx, cancel := x.opts.context()
	defer cancel()
	_, e, err := x.opts.current(ctx)
	if err != nil {
		return nil, err
	}
	return rule.Parse(e.Rules)
}

func printExplanation(x *rule.Explanation) {
	fmt.Printf("rules, version %d:\n", x.Version)
	for _, r := range x.Results {
		switch {
		case r.Matched:
			fmt.Printf("  %s holds and decides\n", r.Rule)
		case r.FieldValues != "":
			fmt.Printf("  %s does not hold: %s, but %s\n", r.Rule, r.FailedCondition, r.FieldValues)
		default:
			fmt.Printf("  %s does not hold: %s\n", r.Rule, r.FailedCondition)
		}
	}
	if x.DecidedBy == "" {
		fmt.Println("  no rule holds; everything is at its default")
	}
}
