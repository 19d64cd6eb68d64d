// Package strictjson decodes hand-written JSON strictly: an unknown field, a
// duplicate name or a wrong type is an error that names the field.
package strictjson

import (
	"errors"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"
)

// Decode decodes one JSON value into v. The name identifies the source of the data,
// a file or an object, in errors.
func Decode(name string, data []byte, v any) error {
	err := json.Unmarshal(data, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	return trace.BadParameter("%s: %s", name, describe(err))
}

// describe returns the message of a decoding error, prefixed with the affected field.
func describe(err error) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return fieldPrefix(semantic.JSONPointer) + strings.TrimPrefix(err.Error(), "json: ")
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return fieldPrefix(syntactic.JSONPointer) + strings.TrimPrefix(err.Error(), "jsontext: ")
	}
	return err.Error()
}

func fieldPrefix(p jsontext.Pointer) string {
	if p == "" {
		return ""
	}
	return strings.ReplaceAll(strings.TrimPrefix(string(p), "/"), "/", ".") + ": "
}

// Encode returns v as compact JSON with sorted names.
func Encode(v any) ([]byte, error) {
	return json.Marshal(v, json.Deterministic(true), json.FormatNilSliceAsNull(true))
}

// EncodeIndented returns v as indented JSON with sorted names.
func EncodeIndented(v any) ([]byte, error) {
	return json.Marshal(v, json.Deterministic(true), json.FormatNilSliceAsNull(true), jsontext.WithIndent("  "))
}
