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

// condition is a compiled When; the zero value always holds.
type condition struct {
	program *vm.Program
	// test is nil, or must hold wherever the program does; if exact, it decides alone.
	test  test
	exact bool
	parts []part
}

// part is one of the conjuncts of a condition, kept for explanations.
type part struct {
	text    string
	fields  []string
	program *vm.Program
}

// functions are the builtins that conditions may call. The others are disabled: now() would make
// decisions differ between processes, and repeat() and the like would let a rule take any time.
var functions = []string{"len", "lower", "upper", "trim", "abs", "max", "min", "hasPrefix", "hasSuffix"}

var machines = sync.Pool{New: func() any { return new(vm.VM) }}

func compile(text string) (*vm.Program, error) {
	opts := []expr.Option{expr.Env(&Request{}), expr.AsBool(), expr.DisableAllBuiltins()}
	for _, f := range functions {
		opts = append(opts, expr.EnableBuiltin(f))
	}
	program, err := expr.Compile(text, opts...)
	if err != nil {
		return nil, describe(err)
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
	if c.program, err = compile(when); err != nil {
		return c, err
	}
	tree, err := parser.Parse(when)
	if err != nil {
		return c, describe(err)
	}
	c.test, c.exact = native(tree.Node)
	c.split(tree.Node)
	return c, nil
}

// split fills the parts with the conjuncts of a checked tree.
func (c *condition) split(n ast.Node) {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		c.split(b.Left)
		c.split(b.Right)
		return
	}
	p := part{text: n.String()}
	ast.Walk(&n, &names{fields: &p.fields})
	var err error
	if p.program, err = compile(p.text); err == nil {
		c.parts = append(c.parts, p)
	}
}

// describe gives a compiler's error in one line with its place.
func describe(err error) error {
	var at *file.Error
	if errors.As(err, &at) {
		return fmt.Errorf("line %d column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " "))
}

func (c *condition) holds(r *Request) bool {
	if c.test != nil {
		if held := c.test(r); !held || c.exact {
			return held
		}
	}
	return c.program == nil || run(c.program, r)
}

// run counts a program that fails, such as by a division by zero, as not holding.
func run(program *vm.Program, r *Request) bool {
	m, _ := machines.Get().(*vm.VM)
	defer machines.Put(m)
	out, err := m.Run(program, r)
	held, _ := out.(bool)
	return err == nil && held
}
