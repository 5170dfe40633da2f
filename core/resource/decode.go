package resource

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// FieldError is an error of one field of a template or team, named by a path
// such as "routes/2/cluster".
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// DecodeTemplate decodes and validates a template. The error is a FieldError
// and describes the first fault only.
func DecodeTemplate(body []byte) (*Template, error) {
	t := &Template{}
	if err := Decode(body, t); err != nil {
		return nil, err
	}
	return t, t.Validate()
}

// DecodeTeam decodes a team and validates what does not depend on its template.
// The error is a FieldError and describes the first fault only.
func DecodeTeam(body []byte) (*Team, error) {
	t := &Team{}
	if err := Decode(body, t); err != nil {
		return nil, err
	}
	return t, t.Validate()
}

// Decode strictly decodes one JSON value of at most MaxBodyBytes bytes and
// MaxDepth levels. Unknown and repeated fields and invalid UTF-8 are errors.
func Decode(body []byte, into any) error { return DecodeLimit(body, MaxBodyBytes, into) }

// DecodeLimit is Decode with another limit of bytes, for a body in an envelope.
func DecodeLimit(body []byte, limit int, into any) error {
	if len(body) > limit {
		return invalid("", "%d bytes are above the limit of %d", len(body), limit)
	}
	if err := checkDepth(body); err != nil {
		return err
	}
	err := json.Unmarshal(body, into, json.RejectUnknownMembers(true))
	return fieldError(err)
}

// checkDepth refuses deep nesting before anything is allocated for it.
func checkDepth(body []byte) error {
	d := jsontext.NewDecoder(bytes.NewReader(body))
	for {
		if _, err := d.ReadToken(); err != nil {
			break // the end, or an error that Unmarshal reports
		}
		if d.StackDepth() > MaxDepth {
			return invalid(pointer(d.StackPointer()), "nesting is deeper than %d levels", MaxDepth)
		}
	}
	return nil
}

func fieldError(err error) error {
	if err == nil {
		return nil
	}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		if sem.Err != nil {
			return invalid(pointer(sem.JSONPointer), "%s", clip(sem.Err.Error()))
		}
		return invalid(pointer(sem.JSONPointer), "a JSON %s does not fit this field", sem.JSONKind)
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		return invalid(pointer(syn.JSONPointer), "%s at byte %d", clip(syn.Err.Error()), syn.ByteOffset)
	}
	return invalid("", "%s", clip(err.Error()))
}

func pointer(p jsontext.Pointer) string { return clip(strings.TrimPrefix(string(p), "/")) }

// clip bounds a text that stems from input, so that errors stay short.
func clip(s string) string {
	if len(s) <= maxErrorText {
		return strings.ToValidUTF8(s, "?")
	}
	return strings.ToValidUTF8(s[:maxErrorText], "") + "..."
}
