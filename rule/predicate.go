package rule

import (
	"strconv"

	"github.com/expr-lang/expr/ast"
)

// predicate implements a condition, or a necessary part of one, in plain Go. Evaluating one condition in the expr VM
// takes about as long as a whole decision over 50 rules may take, so most conditions are decided without it.
type predicate func(*Request) bool

var textFields = map[string]func(*Request) string{
	"class":   func(r *Request) string { return r.Class },
	"team":    func(r *Request) string { return r.Team },
	"kind":    func(r *Request) string { return r.Kind },
	"zone":    func(r *Request) string { return r.Zone },
	"service": func(r *Request) string { return r.Service },
	"method":  func(r *Request) string { return r.Method },
}

var numberFields = map[string]func(*Request) int64{
	"tasks":             func(r *Request) int64 { return int64(r.Tasks) },
	"runSeconds":        func(r *Request) int64 { return r.RunSeconds },
	"secondsToDeadline": func(r *Request) int64 { return r.SecondsToDeadline },
	"hour":              func(r *Request) int64 { return int64(r.Hour) },
	"weekday":           func(r *Request) int64 { return int64(r.Weekday) },
	"day":               func(r *Request) int64 { return int64(r.Day) },
	"each.millicores":   func(r *Request) int64 { return r.Each.Millicores },
	"each.memoryMB":     func(r *Request) int64 { return r.Each.MemoryMB },
	"each.accelerators": func(r *Request) int64 { return r.Each.Accelerators },
}

var boolFields = map[string]predicate{
	"check":      func(r *Request) bool { return r.Check },
	"gang":       func(r *Request) bool { return r.Gang },
	"urgent":     func(r *Request) bool { return r.Urgent },
	"repeatable": func(r *Request) bool { return r.Repeatable },
	"session":    func(r *Request) bool { return r.Session },
}

// fieldName returns the name of the field that a node reads, such as "class" or "each.millicores", or an empty
// string.
func fieldName(n ast.Node) string {
	switch n := n.(type) {
	case *ast.IdentifierNode:
		return n.Value
	case *ast.MemberNode:
		property, ok := n.Property.(*ast.StringNode)
		if base := fieldName(n.Node); ok && base != "" {
			return base + "." + property.Value
		}
	}
	return ""
}

// fieldCollector collects the names of the fields that a tree reads.
type fieldCollector struct{ fields *[]string }

// Visit implements ast.Visitor.
func (v *fieldCollector) Visit(n *ast.Node) {
	name := fieldName(*n)
	if _, ok := valueOf(name, &Request{}); ok {
		*v.fields = append(*v.fields, name)
	}
}

// valueOf returns a field's value as it is written in a condition.
func valueOf(name string, r *Request) (string, bool) {
	if get, ok := textFields[name]; ok {
		return strconv.Quote(get(r)), true
	}
	if get, ok := numberFields[name]; ok {
		return strconv.FormatInt(get(r), 10), true
	}
	if get, ok := boolFields[name]; ok {
		return strconv.FormatBool(get(r)), true
	}
	return "", false
}

// compilePredicate compiles a type-checked tree to a predicate, or returns nil if it cannot. A predicate that is not
// exact is only a necessary condition: if it fails, the condition fails.
func compilePredicate(n ast.Node) (p predicate, exact bool) {
	switch n := n.(type) {
	case *ast.IdentifierNode:
		p = boolFields[n.Value]
		return p, p != nil
	case *ast.UnaryNode:
		return compileNot(n)
	case *ast.BinaryNode:
		return compileBinary(n)
	}
	return nil, false
}

func compileNot(n *ast.UnaryNode) (predicate, bool) {
	inner, exact := compilePredicate(n.Node)
	if !exact || (n.Operator != "!" && n.Operator != "not") {
		return nil, false
	}
	return func(r *Request) bool { return !inner(r) }, true
}

func compileBinary(n *ast.BinaryNode) (predicate, bool) {
	switch n.Operator {
	case "&&", "and":
		return compileAnd(n)
	case "||", "or":
		return compileOr(n)
	case "in":
		return compileIn(n)
	}
	name := fieldName(n.Left)
	if get, ok := textFields[name]; ok {
		return compareText(n, get)
	}
	if get, ok := numberFields[name]; ok {
		return compareNumber(n, get)
	}
	return nil, false
}

func compileAnd(n *ast.BinaryNode) (predicate, bool) {
	left, leftExact := compilePredicate(n.Left)
	right, rightExact := compilePredicate(n.Right)
	switch {
	case left == nil:
		return right, false
	case right == nil:
		return left, false
	}
	return func(r *Request) bool { return left(r) && right(r) }, leftExact && rightExact
}

func compileOr(n *ast.BinaryNode) (predicate, bool) {
	left, leftExact := compilePredicate(n.Left)
	right, rightExact := compilePredicate(n.Right)
	if left == nil || right == nil {
		return nil, false
	}
	return func(r *Request) bool { return left(r) || right(r) }, leftExact && rightExact
}

func compileIn(n *ast.BinaryNode) (predicate, bool) {
	get, ok := textFields[fieldName(n.Left)]
	array, isArray := n.Right.(*ast.ArrayNode)
	if !ok || !isArray {
		return nil, false
	}
	set := make(map[string]struct{}, len(array.Nodes))
	for _, item := range array.Nodes {
		text, ok := item.(*ast.StringNode)
		if !ok {
			return nil, false
		}
		set[text.Value] = struct{}{}
	}
	return func(r *Request) bool { _, found := set[get(r)]; return found }, true
}

func compareText(n *ast.BinaryNode, get func(*Request) string) (predicate, bool) {
	text, ok := n.Right.(*ast.StringNode)
	if !ok {
		return nil, false
	}
	want := text.Value
	switch n.Operator {
	case "==":
		return func(r *Request) bool { return get(r) == want }, true
	case "!=":
		return func(r *Request) bool { return get(r) != want }, true
	}
	return nil, false
}

func compareNumber(n *ast.BinaryNode, get func(*Request) int64) (predicate, bool) {
	number, ok := n.Right.(*ast.IntegerNode)
	if !ok {
		return nil, false
	}
	want := int64(number.Value)
	switch n.Operator {
	case "==":
		return func(r *Request) bool { return get(r) == want }, true
	case "!=":
		return func(r *Request) bool { return get(r) != want }, true
	case "<":
		return func(r *Request) bool { return get(r) < want }, true
	case "<=":
		return func(r *Request) bool { return get(r) <= want }, true
	case ">":
		return func(r *Request) bool { return get(r) > want }, true
	case ">=":
		return func(r *Request) bool { return get(r) >= want }, true
	}
	return nil, false
}
