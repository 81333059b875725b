// Package strictjson decodes JSON with comments. It rejects unknown keys, keys in a different case, duplicate keys and values
// without a unit. Errors contain the line and column.
package strictjson

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Error is an error at a position in the text. Line and Column start at 1. A Line of 0 means that the position is unknown.
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

// Decode decodes data (JSON with comments and trailing commas) into v. Every error is an *Error.
func Decode(data []byte, v any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return &Error{Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	standard := root.Clone()
	standard.Standardize()
	// Standardize replaces comments with spaces, so the offsets are the same in both texts.
	if err := json.Unmarshal(standard.Pack(), v, json.RejectUnknownMembers(true)); err != nil {
		return withPosition(data, &root, err)
	}
	return nil
}

// ErrorAtPath returns an *Error with the position of the value at path, or of its deepest existing ancestor.
func ErrorAtPath(data []byte, reason string, path ...string) error {
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
	return errorAt(data, found.StartOffset, reason)
}

// withPosition converts an error of the decoder to an *Error with its position, if the position is known.
func withPosition(data []byte, root *hujson.Value, err error) error {
	var nested *Error
	if errors.As(err, &nested) {
		return nested
	}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		offset := int(semantic.ByteOffset)
		if member := findMemberName(root, semantic.JSONPointer); member != nil {
			offset = member.StartOffset
		}
		return errorAt(data, offset, semanticReason(semantic))
	case errors.As(err, &syntactic):
		return errorAt(data, int(syntactic.ByteOffset), syntacticReason(syntactic))
	}
	return &Error{Reason: err.Error()}
}

func semanticReason(e *json.SemanticError) string {
	key := e.JSONPointer.LastToken()
	switch {
	case errors.Is(e.Err, json.ErrUnknownName):
		return fmt.Sprintf("unknown key %q", key)
	case e.Err != nil:
		return fmt.Sprintf("%s: %v", key, e.Err)
	}
	return fmt.Sprintf("%s: want %s, got %s", key, e.GoType, e.JSONKind)
}

func syntacticReason(e *jsontext.SyntacticError) string {
	if errors.Is(e.Err, jsontext.ErrDuplicateName) {
		return fmt.Sprintf("duplicate key %q", e.JSONPointer.LastToken())
	}
	return e.Err.Error()
}

func errorAt(data []byte, offset int, reason string) error {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	return &Error{
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: offset - (bytes.LastIndexByte(before, '\n') + 1) + 1,
		Reason: reason,
	}
}

// findMemberName returns the key of the object member at pointer, or the value itself if it is an array element.
func findMemberName(root *hujson.Value, pointer jsontext.Pointer) *hujson.Value {
	parent := root.Find(string(pointer.Parent()))
	if parent == nil {
		return nil
	}
	if object, ok := parent.Value.(*hujson.Object); ok {
		for i := range object.Members {
			if memberName(&object.Members[i].Name) == pointer.LastToken() {
				return &object.Members[i].Name
			}
		}
	}
	return root.Find(string(pointer))
}

func memberName(name *hujson.Value) string {
	if literal, ok := name.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}
