// Package settings reads settings files: JSON with comments, one section per plug-in.
//
// Decoding is strict: unknown and repeated fields and values of the wrong type
// are errors that name file, line and field.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file; larger ones are refused unread.
const maxFileBytes = 4 << 20

// Duration is a time.Duration written as text such as "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses text such as "250ms". Negative values are refused.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms", b)
	}
	if v < 0 {
		return errors.Newf("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// FieldError is an error of one field, named relative to its section by a path
// such as "listen" or "members/0/address".
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Invalid returns a FieldError with a formatted reason.
func Invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Address checks that value is IP:port and returns a FieldError otherwise.
func Address(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return Invalid(field, "%q is not IP:port", value)
	}
	return nil
}

// OptionalAddress is Address for a field that may be empty.
func OptionalAddress(field, value string) error {
	if value == "" {
		return nil
	}
	return Address(field, value)
}

// Validator is implemented by settings that check more than types. Validate
// returns a FieldError or nil.
type Validator interface{ Validate() error }

// File is a parsed settings file. It is read-only after Parse.
type File struct {
	name     string
	source   []byte
	text     []byte
	sections map[string]jsontext.Value
	offsets  map[string]int64
}

// Source returns the text that was parsed. The caller must not change it.
func (f *File) Source() []byte { return f.source }

// Load reads and parses the file at path.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Newf("%s: settings file has %d bytes, the limit is %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	return Parse(path, text)
}

// Parse parses text; name stands in error messages for the file.
func Parse(name string, text []byte) (*File, error) {
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, errors.Newf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	f := &File{name: name, source: bytes.Clone(text), text: std, sections: map[string]jsontext.Value{}, offsets: map[string]int64{}}
	d := jsontext.NewDecoder(bytes.NewReader(std))
	if k := d.PeekKind(); k != '{' {
		return nil, errors.Newf("%s:1: settings must be an object with one section per plug-in", name)
	}
	if _, err := d.ReadToken(); err != nil {
		return nil, f.syntaxError(err)
	}
	for d.PeekKind() != '}' {
		key, err := d.ReadToken()
		if err != nil {
			return nil, f.syntaxError(err)
		}
		section := key.String()
		v, err := d.ReadValue()
		if err != nil {
			return nil, f.syntaxError(err)
		}
		f.offsets[section] = d.InputOffset() - int64(len(v))
		f.sections[section] = bytes.Clone(v)
	}
	if _, err := d.ReadToken(); err != nil {
		return nil, f.syntaxError(err)
	}
	return f, nil
}

// Sections returns the names of the sections, in no order.
func (f *File) Sections() []string {
	names := make([]string, 0, len(f.sections))
	for n := range f.sections {
		names = append(names, n)
	}
	return names
}

// Line returns the line of the section's value, counted from 1.
func (f *File) Line(section string) int { return f.lineAt(f.offsets[section]) }

// Decode fills into, a pointer to a struct that holds the defaults, from the
// section and validates it. A missing section leaves the defaults.
func (f *File) Decode(section string, into any) error {
	v, ok := f.sections[section]
	if ok {
		err := json.Unmarshal(v, into, json.RejectUnknownMembers(true))
		if err != nil {
			return f.decodeError(section, err)
		}
	}
	val, ok := into.(Validator)
	if !ok {
		return nil
	}
	err := val.Validate()
	var fe *FieldError
	if errors.As(err, &fe) {
		return f.Locate(Invalid(section+"/"+fe.Field, "%s", fe.Reason))
	}
	if err != nil {
		return errors.Wrapf(err, "%s:%d: %s", f.name, f.Line(section), section)
	}
	return nil
}

// Locate adds file and line to a FieldError whose field starts with a section.
func (f *File) Locate(err error) error {
	var fe *FieldError
	if !errors.As(err, &fe) {
		return errors.Wrap(err, f.name)
	}
	section, field, _ := strings.Cut(fe.Field, "/")
	return errors.Newf("%s:%d: %s: %s", f.name, f.fieldLine(section, field), fe.Field, fe.Reason)
}

func (f *File) decodeError(section string, err error) error {
	var sem *json.SemanticError
	if !errors.As(err, &sem) {
		return f.syntaxError(err)
	}
	line := f.lineAt(f.offsets[section] + sem.ByteOffset)
	field := section + string(sem.JSONPointer)
	reason := fmt.Sprintf("JSON %s does not fit Go %v", sem.JSONKind, sem.GoType)
	if sem.Err != nil {
		reason = sem.Err.Error()
	}
	return errors.Newf("%s:%d: %s: %s", f.name, line, field, reason)
}

func (f *File) syntaxError(err error) error {
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		return errors.Newf("%s:%d: %s: %v", f.name, f.lineAt(syn.ByteOffset), strings.TrimPrefix(string(syn.JSONPointer), "/"), syn.Err)
	}
	return errors.Wrap(err, f.name)
}

// fieldLine returns the line of a field inside a section, or the line of the
// section when the field is absent.
func (f *File) fieldLine(section, field string) int {
	d := jsontext.NewDecoder(bytes.NewReader(f.sections[section]))
	want := jsontext.Pointer("/" + field)
	for {
		if _, err := d.ReadToken(); err != nil {
			return f.Line(section)
		}
		if d.StackPointer() == want {
			return f.lineAt(f.offsets[section] + d.InputOffset() - 1)
		}
	}
}

func (f *File) lineAt(offset int64) int {
	offset = min(max(offset, 0), int64(len(f.text)))
	return 1 + bytes.Count(f.text[:offset], []byte("\n"))
}

// Unknown returns an error that names a section outside known, or nil.
func (f *File) Unknown(known map[string]bool) error {
	for name := range f.sections {
		if !known[name] {
			return errors.Newf("%s:%d: section %q belongs to no plug-in of this program", f.name, f.Line(name), name)
		}
	}
	return nil
}
