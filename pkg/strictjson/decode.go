// Package strictjson decodes JSON with comments and refuses unknown keys, duplicate keys and values without a unit,
// naming the line and column of the fault.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
	"github.com/tailscale/hujson"
)

// Error is a fault at a position in the text. Line and Column count from 1; 0 means that the position is not known.
type Error struct {
	Line, Column int
	Reason       string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.Reason
	}
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
}

// Decode parses data (JSON with comments and trailing commas) into v. Every fault is returned as *Error.
func Decode(data []byte, v any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return &Error{Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	if err := checkDuplicateKeys(data, &root); err != nil {
		return err
	}
	standard := root.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return locate(data, &root, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{Reason: "text after the end of the document"}
	}
	return nil
}

// AtPath returns an error at the value that a path of keys and array indices leads to. Where the path ends early, as for a
// key that is missing, it is at the value reached.
func AtPath(data []byte, reason string, path ...string) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return &Error{Reason: reason}
	}
	found, pointer := &root, ""
	for _, key := range path {
		pointer += "/" + key
		next := root.Find(pointer)
		if next == nil {
			break
		}
		found = next
	}
	return errorAt(data, found, reason)
}

func checkDuplicateKeys(data []byte, root *hujson.Value) error {
	var found error
	walk(root, func(v *hujson.Value) bool {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			return true
		}
		seen := make(map[string]bool, len(object.Members))
		for i := range object.Members {
			name := &object.Members[i].Name
			key := literalText(name)
			if seen[key] {
				found = errorAt(data, name, fmt.Sprintf("duplicate key %q", key))
				return false
			}
			seen[key] = true
		}
		return true
	})
	return found
}

// locate turns an error of encoding/json into an *Error with a position.
func locate(data []byte, root *hujson.Value, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		line, column := position(data, int(typeError.Offset)-1)
		return &Error{Line: line, Column: column, Reason: fmt.Sprintf("%s: want %s, got %s", typeError.Field, typeError.Type, typeError.Value)}
	}
	var parseError *unit.ParseError
	if errors.As(err, &parseError) {
		return errorAt(data, findLiteral(root, parseError.Text), err.Error())
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		key := strings.Trim(name, `"`)
		return errorAt(data, findKey(root, key), fmt.Sprintf("unknown key %q", key))
	}
	return &Error{Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

func errorAt(data []byte, v *hujson.Value, reason string) error {
	if v == nil {
		return &Error{Reason: reason}
	}
	line, column := position(data, v.StartOffset)
	return &Error{Line: line, Column: column, Reason: reason}
}

func position(data []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	return bytes.Count(before, []byte("\n")) + 1, offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
}

func findKey(root *hujson.Value, key string) *hujson.Value {
	var found *hujson.Value
	walk(root, func(v *hujson.Value) bool {
		if object, ok := v.Value.(*hujson.Object); ok {
			for i := range object.Members {
				if literalText(&object.Members[i].Name) == key {
					found = &object.Members[i].Name
					return false
				}
			}
		}
		return true
	})
	return found
}

func findLiteral(root *hujson.Value, text string) *hujson.Value {
	var found *hujson.Value
	walk(root, func(v *hujson.Value) bool {
		if _, ok := v.Value.(hujson.Literal); ok && literalText(v) == text {
			found = v
			return false
		}
		return true
	})
	return found
}

func literalText(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	if literal.Kind() == '"' {
		return literal.String()
	}
	return string(literal)
}

// walk visits v and every value below it until visit returns false. It reports whether the walk was completed.
func walk(v *hujson.Value, visit func(*hujson.Value) bool) bool {
	if !visit(v) {
		return false
	}
	switch composite := v.Value.(type) {
	case *hujson.Object:
		for i := range composite.Members {
			if !walk(&composite.Members[i].Value, visit) {
				return false
			}
		}
	case *hujson.Array:
		for i := range composite.Elements {
			if !walk(&composite.Elements[i], visit) {
				return false
			}
		}
	}
	return true
}
