// Package strictjson decodes JSON that people write: an unknown field, a
// repeated name or a wrong type is an error that names the field.
package strictjson

import (
	"errors"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"
)

// Decode decodes one JSON value into v. The name is of the file or the object
// that the text came from.
func Decode(name string, data []byte, v any) error {
	err := json.Unmarshal(data, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	return trace.BadParameter("%s: %s", name, describe(err))
}

// describe names the field that a decoding error is about.
func describe(err error) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return field(semantic.JSONPointer) + strings.TrimPrefix(err.Error(), "json: ")
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return field(syntactic.JSONPointer) + strings.TrimPrefix(err.Error(), "jsontext: ")
	}
	return err.Error()
}

func field(p jsontext.Pointer) string {
	if p == "" {
		return ""
	}
	return strings.ReplaceAll(strings.TrimPrefix(string(p), "/"), "/", ".") + ": "
}

// Encode returns v as compact JSON with sorted names.
func Encode(v any) ([]byte, error) {
	return json.Marshal(v, json.Deterministic(true), json.FormatNilSliceAsNull(true))
}

// EncodeIndented is like Encode, for people.
func EncodeIndented(v any) ([]byte, error) {
	return json.Marshal(v, json.Deterministic(true), json.FormatNilSliceAsNull(true), jsontext.WithIndent("  "))
}
