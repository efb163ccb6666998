package rule

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// condition is a compiled When; the zero value matches every request.
type condition struct {
	program *vm.Program
	// predicate is nil, or a necessary condition for the program to return true. If exact is set, it decides alone.
	predicate predicate
	exact     bool
	parts     []conjunct
}

// conjunct is one operand of the top-level conjunction of a condition, kept for explanations.
type conjunct struct {
	text    string
	fields  []string
	program *vm.Program
}

// allowedBuiltins are the builtins that conditions may call. All others are disabled: now() would make decisions
// differ between processes, and functions such as repeat() would let a rule run for an unbounded time.
var allowedBuiltins = []string{"len", "lower", "upper", "trim", "abs", "max", "min", "hasPrefix", "hasSuffix"}

var vmPool = sync.Pool{New: func() any { return new(vm.VM) }}

func compileProgram(text string) (*vm.Program, error) {
	opts := []expr.Option{expr.Env(&Request{}), expr.AsBool(), expr.DisableAllBuiltins()}
	for _, f := range allowedBuiltins {
		opts = append(opts, expr.EnableBuiltin(f))
	}
	program, err := expr.Compile(text, opts...)
	if err != nil {
		return nil, formatError(err)
	}
	return program, nil
}

func newCondition(when string) (condition, error) {
	var c condition
	if strings.TrimSpace(when) == "" {
		return c, nil
	}
	if len(when) > MaxWhenBytes {
		return c, fmt.Errorf("must be at most %d bytes", MaxWhenBytes)
	}
	var err error
	if c.program, err = compileProgram(when); err != nil {
		return c, err
	}
	tree, err := parser.Parse(when)
	if err != nil {
		return c, formatError(err)
	}
	c.predicate, c.exact = compilePredicate(tree.Node)
	c.addParts(tree.Node)
	return c, nil
}

// addParts appends the conjuncts of a type-checked tree to the parts.
func (c *condition) addParts(n ast.Node) {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		c.addParts(b.Left)
		c.addParts(b.Right)
		return
	}
	p := conjunct{text: n.String()}
	ast.Walk(&n, &fieldCollector{fields: &p.fields})
	var err error
	if p.program, err = compileProgram(p.text); err == nil {
		c.parts = append(c.parts, p)
	}
}

// formatError returns a compile error in one line with its position.
func formatError(err error) error {
	var position *file.Error
	if errors.As(err, &position) {
		return fmt.Errorf("line %d column %d: %s", position.Line, position.Column+1, position.Message)
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " "))
}

func (c *condition) matches(r *Request) bool {
	if c.predicate != nil {
		if holds := c.predicate(r); !holds || c.exact {
			return holds
		}
	}
	return c.program == nil || evaluate(c.program, r)
}

// evaluate returns the result of a program, and false if the program fails, for example by dividing by zero.
func evaluate(program *vm.Program, r *Request) bool {
	m, _ := vmPool.Get().(*vm.VM)
	defer vmPool.Put(m)
	out, err := m.Run(program, r)
	holds, _ := out.(bool)
	return err == nil && holds
}
