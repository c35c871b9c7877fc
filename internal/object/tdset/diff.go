package tdset

import (
	"fmt"
	"reflect"
	"strings"

	"tarragondeal"
)

// Op says what happened to an object between two sets.
type Op string

// What happens to objects.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// FieldChange is one field of an object that differs.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is one object that differs between two sets.
type Change struct {
	Op     Op            `json:"op"`
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields,omitempty"` // Of changed objects.
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

// Diff returns the objects that differ between two sets, by kind and in the
// sets' order. The order of objects in a set has no meaning.
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
		name := nameOf(&to[n])
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
		if _, gone := before[nameOf(&from[n])]; gone {
			out = append(out, Change{Op: OpRemoved, Kind: kind, Name: nameOf(&from[n])})
		}
	}
	return out
}

func byName[T any](objects []T) map[string]*T {
	out := make(map[string]*T, len(objects))
	for n := range objects {
		out[nameOf(&objects[n])] = &objects[n]
	}
	return out
}

func nameOf[T any](o *T) string {
	return reflect.ValueOf(o).Elem().FieldByName("Name").String()
}

func diffFields(path string, a, b reflect.Value) []FieldChange {
	var out []FieldChange
	for k := range a.NumField() {
		name := join(path, fieldName(a.Type().Field(k)))
		from, to := a.Field(k), b.Field(k)
		switch {
		case from.Kind() == reflect.Struct:
			out = append(out, diffFields(name, from, to)...)
		case !same(from, to):
			out = append(out, FieldChange{Field: name, From: show(name, from), To: show(name, to)})
		}
	}
	return out
}

// same tells whether two values mean the same: an empty list is a missing
// one.
func same(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// show writes a value for people. Salts and digests say nothing to them.
func show(field string, v reflect.Value) string {
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
