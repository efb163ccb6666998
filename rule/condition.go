package rule

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

// condition is a compiled When; the zero value always holds.
type condition struct {
	program *vm.Program
}

var machines = sync.Pool{New: func() any { return new(vm.VM) }}

func newCondition(when string) (condition, error) {
	if strings.TrimSpace(when) == "" {
		return condition{}, nil
	}
	if len(when) > MaxWhenBytes {
		return condition{}, fmt.Errorf("must be at most %d bytes", MaxWhenBytes)
	}
	program, err := expr.Compile(when, expr.Env(&Request{}), expr.AsBool())
	if err != nil {
		return condition{}, describe(err)
	}
	return condition{program: program}, nil
}

// describe gives a compiler's error in one line with its place.
func describe(err error) error {
	var at *file.Error
	if errors.As(err, &at) {
		return fmt.Errorf("line %d column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " "))
}

// holds counts a condition that fails at run time, such as a division by zero, as not holding.
func (c *condition) holds(r *Request) bool {
	if c.program == nil {
		return true
	}
	m, _ := machines.Get().(*vm.VM)
	defer machines.Put(m)
	out, err := m.Run(c.program, r)
	held, _ := out.(bool)
	return err == nil && held
}
