package resource

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// FieldError is an error in one field of the input.
type FieldError struct {
	// Field is the path of the field, such as "routes/2/cluster". It is empty for an error of the
	// input as a whole.
	Field string
	// Reason says what is wrong with the field, without naming it.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// DecodeTemplate decodes and validates a template. The error is a FieldError that
// describes the first invalid field.
func DecodeTemplate(body []byte) (*Template, error) {
	t := &Template{}
	if err := Decode(body, t); err != nil {
		return nil, err
	}
	return t, t.Validate()
}

// DecodeTeam decodes a team and validates everything that does not depend on its
// template. The error is a FieldError that describes the first invalid field.
func DecodeTeam(body []byte) (*Team, error) {
	t := &Team{}
	if err := Decode(body, t); err != nil {
		return nil, err
	}
	return t, t.Validate()
}

// Decode strictly decodes one JSON value of at most MaxBodyBytes bytes and MaxDepth levels. Unknown
// fields, repeated fields and invalid UTF-8 are errors. The error is a FieldError.
func Decode(body []byte, into any) error { return DecodeWithLimit(body, MaxBodyBytes, into) }

// DecodeWithLimit is like Decode, but the value may have up to maxBytes bytes instead of MaxBodyBytes.
func DecodeWithLimit(body []byte, maxBytes int, into any) error {
	if len(body) > maxBytes {
		return fieldErrorf("", "%d bytes are above the limit of %d", len(body), maxBytes)
	}
	if err := checkDepth(body); err != nil {
		return err
	}
	err := json.Unmarshal(body, into, json.RejectUnknownMembers(true))
	return convertJSONError(err)
}

// checkDepth returns an error if the nesting is deeper than MaxDepth levels. It is called before
// Unmarshal, so that no memory is allocated for a deeply nested value.
func checkDepth(body []byte) error {
	d := jsontext.NewDecoder(bytes.NewReader(body))
	for {
		if _, err := d.ReadToken(); err != nil {
			break // end of input, or an error that Unmarshal reports
		}
		if d.StackDepth() > MaxDepth {
			return fieldErrorf(fieldPath(d.StackPointer()), "nesting is deeper than %d levels", MaxDepth)
		}
	}
	return nil
}

func convertJSONError(err error) error {
	if err == nil {
		return nil
	}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		if sem.Err != nil {
			return fieldErrorf(fieldPath(sem.JSONPointer), "%s", truncate(sem.Err.Error()))
		}
		return fieldErrorf(fieldPath(sem.JSONPointer), "a JSON %s does not fit this field", sem.JSONKind)
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		return fieldErrorf(fieldPath(syn.JSONPointer), "%s at byte %d", truncate(syn.Err.Error()), syn.ByteOffset)
	}
	return fieldErrorf("", "%s", truncate(err.Error()))
}

func fieldPath(p jsontext.Pointer) string { return truncate(strings.TrimPrefix(string(p), "/")) }

// truncate shortens text from the input, so that error messages stay short.
func truncate(s string) string {
	if len(s) <= maxErrorTextBytes {
		return strings.ToValidUTF8(s, "?")
	}
	return strings.ToValidUTF8(s[:maxErrorTextBytes], "") + "..."
}
