package tdset

import (
	"fmt"
	"reflect"
	"strings"

	"tarragondeal"
)

// Op is the kind of a change to an object.
type Op string

// Kinds of changes.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// FieldChange is a change to a field of an object.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is a difference in one object between two sets.
type Change struct {
	Op     Op            `json:"op"`
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields,omitempty"` // Set if Op is OpChanged.
}

func (c Change) String() string {
	sign := map[Op]string{OpAdded: "+", OpRemoved: "-", OpChanged: "~"}[c.Op]
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, f.From, f.To))
	}
	out := fmt.Sprintf("%s %s %s", sign, c.Kind, c.Name)
	if len(parts) > 0 {
		out += ": " + strings.Join(parts, ", ")
	}
	return out
}

// Diff returns the differences between two sets, grouped by the kind of object. In
// each group the added and changed objects come first, in the order of to, and then
// the removed objects, in the order of from. The order of objects in a set has no
// meaning, so a different order is not a change.
func Diff(from, to *tarragondeal.Set) []Change {
	var out []Change
	out = append(out, diffKind("data centre", from.DataCentres, to.DataCentres)...)
	out = append(out, diffKind("server pool", from.ServerPools, to.ServerPools)...)
	out = append(out, diffKind("request class", from.RequestClasses, to.RequestClasses)...)
	out = append(out, diffKind("workspace", from.Workspaces, to.Workspaces)...)
	out = append(out, diffKind("route", from.Routes, to.Routes)...)
	return append(out, diffKind("key", from.Keys, to.Keys)...)
}

func diffKind[T any](kind string, from, to []T) []Change {
	var out []Change
	before := byName(from)
	for n := range to {
		name := objectName(&to[n])
		old, ok := before[name]
		delete(before, name)
		if !ok {
			out = append(out, Change{Op: OpAdded, Kind: kind, Name: name})
			continue
		}
		fields := diffFields("", reflect.ValueOf(old).Elem(), reflect.ValueOf(&to[n]).Elem())
		if len(fields) > 0 {
			out = append(out, Change{Op: OpChanged, Kind: kind, Name: name, Fields: fields})
		}
	}
	for n := range from {
		if _, removed := before[objectName(&from[n])]; removed {
			out = append(out, Change{Op: OpRemoved, Kind: kind, Name: objectName(&from[n])})
		}
	}
	return out
}

func byName[T any](objects []T) map[string]*T {
	out := make(map[string]*T, len(objects))
	for n := range objects {
		out[objectName(&objects[n])] = &objects[n]
	}
	return out
}

func objectName[T any](o *T) string {
	return reflect.ValueOf(o).Elem().FieldByName("Name").String()
}

func diffFields(path string, a, b reflect.Value) []FieldChange {
	var out []FieldChange
	for k := range a.NumField() {
		name := joinPath(path, fieldName(a.Type().Field(k)))
		from, to := a.Field(k), b.Field(k)
		switch {
		case from.Kind() == reflect.Struct:
			out = append(out, diffFields(name, from, to)...)
		case !equalValues(from, to):
			out = append(out, FieldChange{Field: name, From: formatValue(name, from), To: formatValue(name, to)})
		}
	}
	return out
}

// equalValues reports whether two field values are equal. An empty list equals a
// missing one.
func equalValues(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// formatValue formats a field value for display. It hides salts and digests, which
// are of no use to a reader.
func formatValue(field string, v reflect.Value) string {
	if field == "salt" || field == "digest" {
		return "..."
	}
	if d, ok := v.Interface().(tarragondeal.Duration); ok {
		text, _ := d.MarshalText()
		return string(text)
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		return `""`
	}
	return fmt.Sprint(v.Interface())
}
