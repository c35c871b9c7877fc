package tdset

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"tarragondeal"
)

// decoder decodes a YAML document into a set. It continues after a fault, to
// report all of them, and records the line of each path.
type decoder struct {
	lines  map[string]int
	faults []Fault
}

func newDecoder() *decoder { return &decoder{lines: make(map[string]int)} }

func (d *decoder) set(body ast.Node, set *tarragondeal.Set) {
	if body == nil {
		return
	}
	d.value("", body, reflect.ValueOf(set).Elem())
}

func (d *decoder) fault(path string, n ast.Node, format string, args ...any) {
	d.faults = append(d.faults, Fault{Path: path, Line: lineOf(n), Text: fmt.Sprintf(format, args...)})
}

func (d *decoder) value(path string, n ast.Node, v reflect.Value) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = lineOf(n)
	}
	if n.Type() == ast.NullType {
		return // An empty value counts as missing.
	}
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, n, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(path, n, v)
	case reflect.Slice:
		d.list(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

func (d *decoder) object(path string, n ast.Node, v reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.fault(path, n, "expected an object, found %s", describeNode(n))
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool)
	it := m.MapRange()
	for it.Next() {
		name := keyString(it.Key())
		at := joinPath(path, name)
		k, known := fields[name]
		switch {
		case !known:
			d.fault(at, it.Key(), "no such field here")
		case seen[name]:
			d.fault(at, it.Key(), "the field is given twice")
		default:
			seen[name] = true
			d.lines[at] = lineOf(it.Key())
			d.value(at, it.Value(), v.Field(k))
		}
	}
}

func keyString(k ast.MapKeyNode) string {
	if s, ok := k.(ast.ScalarNode); ok {
		return fmt.Sprint(s.GetValue())
	}
	return k.String()
}

func (d *decoder) list(path string, n ast.Node, v reflect.Value) {
	a, ok := n.(ast.ArrayNode)
	if !ok {
		d.fault(path, n, "expected a list, found %s", describeNode(n))
		return
	}
	it := a.ArrayRange()
	out := reflect.MakeSlice(v.Type(), 0, it.Len())
	for k := 0; it.Next(); k++ {
		out = reflect.Append(out, reflect.Zero(v.Type().Elem()))
		at := fmt.Sprintf("%s[%d]", path, k)
		if it.Value() == nil || it.Value().Type() == ast.NullType {
			d.faults = append(d.faults, Fault{Path: at, Line: lineOf(n), Text: "an empty entry"})
			continue
		}
		d.value(at, it.Value(), out.Index(k))
	}
	if out.Len() > 0 {
		v.Set(out)
	}
}

func (d *decoder) text(path string, n ast.Node, t encoding.TextUnmarshaler) {
	s, ok := stringOf(n)
	if !ok {
		d.fault(path, n, "expected a duration such as 330ms, found %s", describeNode(n))
		return
	}
	if err := t.UnmarshalText([]byte(s)); err != nil {
		d.fault(path, n, "expected a duration such as 330ms, found %q", truncate(s))
	}
}

func (d *decoder) scalar(path string, n ast.Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		s, ok := stringOf(n)
		if !ok {
			d.fault(path, n, "expected a text, found %s", describeNode(n))
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.fault(path, n, "expected true or false, found %s", describeNode(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int:
		i, ok := intOf(n)
		if !ok {
			d.fault(path, n, "expected a whole number, found %s", describeNode(n))
			return
		}
		v.SetInt(i)
	case reflect.Float64:
		f, ok := floatOf(n)
		if !ok {
			d.fault(path, n, "expected a number, found %s", describeNode(n))
			return
		}
		v.SetFloat(f)
	}
}

// stringOf returns the text of a scalar. Numbers and booleans are accepted too, so
// that names such as 7 or true need no quotes.
func stringOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return s.GetToken().Value, true
	}
	return "", false
}

func intOf(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch v := i.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

func floatOf(n ast.Node) (float64, bool) {
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, true
	}
	i, ok := intOf(n)
	return float64(i), ok
}

// maxValueBytes is the maximum length of an invalid value in a message.
const maxValueBytes = 40

func truncate(s string) string {
	if len(s) > maxValueBytes {
		return s[:maxValueBytes] + "..."
	}
	return s
}

// describeNode describes a value for use in a message.
func describeNode(n ast.Node) string {
	switch n.(type) {
	case ast.MapNode:
		return "an object"
	case ast.ArrayNode:
		return "a list"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + truncate(n.GetToken().Value)
	case *ast.BoolNode:
		return n.GetToken().Value
	}
	if s, ok := stringOf(n); ok {
		return fmt.Sprintf("the text %q", truncate(s))
	}
	return "something else"
}

// fieldsOf returns the indices of the fields of a struct by their YAML names.
func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for k := range t.NumField() {
		out[fieldName(t.Field(k))] = k
	}
	return out
}

// fieldName returns the YAML name of a field.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
