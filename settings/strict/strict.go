// Package strict reads JSON settings and reports all mistakes at once, each with
// its path, the value found and what is allowed, so that an operator can correct
// a file in one edit. Unlike encoding/json, it rejects unknown fields and does
// not stop at the first mistake. Checker helps to check the values.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Problem is one mistake in a settings document.
type Problem struct {
	// Path leads to the field, as in listen.callers or peers[2].address.
	Path string
	// Value is the value in the document.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed; %s", p.Path, p.Value, p.Allowed)
}

// Problems are all mistakes found in one document.
type Problems []Problem

// Error lists one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads the document at path; fields that it leaves out keep their
// values in defaults. The error is a Problems if the document was read but has
// mistakes.
func ReadFile[T any](path string, defaults T, check func(T) Problems) (T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return defaults, eris.Wrap(err, "read settings")
	}
	return Parse(raw, defaults, check)
}

// Parse reads a document; fields that it leaves out keep their values in
// defaults. The error is a Problems if the text is JSON but has mistakes.
func Parse[T any](raw []byte, defaults T, check func(T) Problems) (T, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return defaults, eris.Wrap(err, "settings are not valid JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return defaults, eris.New("settings contain more than one JSON value")
	}
	if problems := checkShape("", tree, reflect.TypeFor[T]()); len(problems) > 0 {
		return defaults, problems
	}
	parsed := defaults
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return defaults, eris.Wrap(err, "decode settings")
	}
	if problems := check(parsed); len(problems) > 0 {
		return defaults, problems
	}
	return parsed, nil
}

// checkShape compares a JSON tree with the Go type that it will be decoded into
// and returns all unknown fields and values of a wrong type. encoding/json alone
// stops at the first.
func checkShape(path string, tree any, want reflect.Type) Problems {
	switch want.Kind() {
	case reflect.Struct:
		return checkObject(path, tree, want)
	case reflect.Slice:
		return checkList(path, tree, want)
	case reflect.String:
		if _, ok := tree.(string); ok {
			return nil
		}
		return singleProblem(path, tree, "a string")
	case reflect.Float64:
		if number, ok := tree.(json.Number); ok {
			if _, err := number.Float64(); err == nil {
				return nil
			}
		}
		return singleProblem(path, tree, "a number")
	case reflect.Int, reflect.Int64:
		if number, ok := tree.(json.Number); ok {
			if _, err := number.Int64(); err == nil {
				return nil
			}
		}
		return singleProblem(path, tree, "a whole number")
	case reflect.Bool:
		if _, ok := tree.(bool); ok {
			return nil
		}
		return singleProblem(path, tree, "true or false")
	}
	panic("strict: checkShape does not support fields of type " + want.String())
}

func checkObject(path string, tree any, want reflect.Type) Problems {
	object, ok := tree.(map[string]any)
	if !ok {
		return singleProblem(path, tree, "an object")
	}
	fields := map[string]reflect.Type{}
	for i := range want.NumField() {
		fields[want.Field(i).Tag.Get("json")] = want.Field(i).Type
	}
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	var problems Problems
	for _, name := range names {
		field, known := fields[name]
		if !known {
			problems = append(problems, Problem{joinPath(path, name), "this field", "known here: " + fieldNames(fields)})
			continue
		}
		problems = append(problems, checkShape(joinPath(path, name), object[name], field)...)
	}
	return problems
}

func checkList(path string, tree any, want reflect.Type) Problems {
	list, ok := tree.([]any)
	if !ok {
		return singleProblem(path, tree, "a list")
	}
	var problems Problems
	for i, item := range list {
		problems = append(problems, checkShape(fmt.Sprintf("%s[%d]", path, i), item, want.Elem())...)
	}
	return problems
}

func singleProblem(path string, tree any, allowed string) Problems {
	text, err := json.Marshal(tree)
	if err != nil {
		text = []byte("this value")
	}
	return Problems{{Path: path, Value: string(text), Allowed: "it must be " + allowed}}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
