package rule

import (
	"strconv"

	"github.com/expr-lang/expr/ast"
)

// test is a condition, or a necessary part of one, as plain Go. Each of 50 conditions in expr's
// machine takes about as long as a whole decision may, so that most are decided without it.
type test func(*Request) bool

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

var boolFields = map[string]test{
	"check":      func(r *Request) bool { return r.Check },
	"gang":       func(r *Request) bool { return r.Gang },
	"urgent":     func(r *Request) bool { return r.Urgent },
	"repeatable": func(r *Request) bool { return r.Repeatable },
	"session":    func(r *Request) bool { return r.Session },
}

// fieldName gives "class" or "each.millicores" for a node that reads a field, else "".
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

// names collects the fields that a tree reads.
type names struct{ fields *[]string }

// Visit notes one node of the tree.
func (v *names) Visit(n *ast.Node) {
	name := fieldName(*n)
	if _, ok := valueOf(name, &Request{}); ok {
		*v.fields = append(*v.fields, name)
	}
}

// valueOf gives a field's value as it is written in a condition.
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

// native turns a checked tree into a test, nil if it cannot. A test that is not exact is necessary
// only: where it fails the condition fails.
func native(n ast.Node) (t test, exact bool) {
	switch n := n.(type) {
	case *ast.IdentifierNode:
		t = boolFields[n.Value]
		return t, t != nil
	case *ast.UnaryNode:
		return nativeNot(n)
	case *ast.BinaryNode:
		return nativeBinary(n)
	}
	return nil, false
}

func nativeNot(n *ast.UnaryNode) (test, bool) {
	inner, exact := native(n.Node)
	if !exact || (n.Operator != "!" && n.Operator != "not") {
		return nil, false
	}
	return func(r *Request) bool { return !inner(r) }, true
}

func nativeBinary(n *ast.BinaryNode) (test, bool) {
	switch n.Operator {
	case "&&", "and":
		return nativeAnd(n)
	case "||", "or":
		return nativeOr(n)
	case "in":
		return nativeIn(n)
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

func nativeAnd(n *ast.BinaryNode) (test, bool) {
	left, leftExact := native(n.Left)
	right, rightExact := native(n.Right)
	switch {
	case left == nil:
		return right, false
	case right == nil:
		return left, false
	}
	return func(r *Request) bool { return left(r) && right(r) }, leftExact && rightExact
}

func nativeOr(n *ast.BinaryNode) (test, bool) {
	left, leftExact := native(n.Left)
	right, rightExact := native(n.Right)
	if left == nil || right == nil {
		return nil, false
	}
	return func(r *Request) bool { return left(r) || right(r) }, leftExact && rightExact
}

func nativeIn(n *ast.BinaryNode) (test, bool) {
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
	return func(r *Request) bool { _, held := set[get(r)]; return held }, true
}

func compareText(n *ast.BinaryNode, get func(*Request) string) (test, bool) {
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

func compareNumber(n *ast.BinaryNode, get func(*Request) int64) (test, bool) {
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
