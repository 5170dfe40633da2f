// Package settings reads settings files: JSON with comments, one section per plug-in.
//
// Decoding is strict: unknown fields, duplicate fields and values of the wrong type are
// errors that name the file, line and field.
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

// maxFileBytes bounds the size of a settings file. A larger file is rejected and not read.
const maxFileBytes = 4 << 20

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// AsDuration converts d to a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative values.
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

// FieldError is an error in one field.
type FieldError struct {
	// Field is the path of the field, such as "members/0/address". It is relative to the
	// section in errors of Validate, and starts with the name of the section in errors that
	// are passed to AddLocation.
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// FieldErrorf returns a FieldError with a formatted reason.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ValidateAddress returns a FieldError unless value is IP:port.
func ValidateAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return FieldErrorf(field, "%q is not IP:port", value)
	}
	return nil
}

// ValidateOptionalAddress returns a FieldError unless value is IP:port or empty.
func ValidateOptionalAddress(field, value string) error {
	if value == "" {
		return nil
	}
	return ValidateAddress(field, value)
}

// Validator is implemented by settings whose values need validation beyond their types.
// Validate returns a FieldError or nil.
type Validator interface{ Validate() error }

// File is a parsed settings file. It is read-only after Parse.
type File struct {
	name   string
	source []byte
	// standardJSON is source with spaces in place of comments and trailing commas, so that
	// line numbers and offsets are the same in both.
	standardJSON []byte
	sections     map[string]jsontext.Value
	// sectionOffsets maps names of sections to the offsets of their values in standardJSON.
	sectionOffsets map[string]int64
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

// Parse parses the text of a settings file; name is the file name in error messages.
func Parse(name string, text []byte) (*File, error) {
	standardized, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, errors.Newf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	f := &File{name: name, source: bytes.Clone(text), standardJSON: standardized, sections: map[string]jsontext.Value{}, sectionOffsets: map[string]int64{}}
	decoder := jsontext.NewDecoder(bytes.NewReader(standardized))
	if k := decoder.PeekKind(); k != '{' {
		return nil, errors.Newf("%s:1: settings must be an object with one section per plug-in", name)
	}
	if _, err := decoder.ReadToken(); err != nil {
		return nil, f.syntaxError(err)
	}
	for decoder.PeekKind() != '}' {
		key, err := decoder.ReadToken()
		if err != nil {
			return nil, f.syntaxError(err)
		}
		section := key.String()
		v, err := decoder.ReadValue()
		if err != nil {
			return nil, f.syntaxError(err)
		}
		f.sectionOffsets[section] = decoder.InputOffset() - int64(len(v))
		f.sections[section] = bytes.Clone(v)
	}
	if _, err := decoder.ReadToken(); err != nil {
		return nil, f.syntaxError(err)
	}
	return f, nil
}

// SectionNames returns the names of the sections in no particular order.
func (f *File) SectionNames() []string {
	names := make([]string, 0, len(f.sections))
	for n := range f.sections {
		names = append(names, n)
	}
	return names
}

// SectionLine returns the line number of the section's value, starting at 1.
func (f *File) SectionLine(section string) int { return f.lineAt(f.sectionOffsets[section]) }

// Decode decodes the section into the struct that into points to, and validates the struct.
// Fields that the section does not set keep their values, which are the defaults.
func (f *File) Decode(section string, into any) error {
	v, ok := f.sections[section]
	if ok {
		err := json.Unmarshal(v, into, json.RejectUnknownMembers(true))
		if err != nil {
			return f.decodeError(section, err)
		}
	}
	validator, ok := into.(Validator)
	if !ok {
		return nil
	}
	err := validator.Validate()
	var fe *FieldError
	if errors.As(err, &fe) {
		return f.AddLocation(FieldErrorf(section+"/"+fe.Field, "%s", fe.Reason))
	}
	if err != nil {
		return errors.Wrapf(err, "%s:%d: %s", f.name, f.SectionLine(section), section)
	}
	return nil
}

// AddLocation adds the file and line to a FieldError whose field starts with the name of
// a section.
func (f *File) AddLocation(err error) error {
	var fe *FieldError
	if !errors.As(err, &fe) {
		return errors.Wrap(err, f.name)
	}
	section, field, _ := strings.Cut(fe.Field, "/")
	return errors.Newf("%s:%d: %s: %s", f.name, f.fieldLine(section, field), fe.Field, fe.Reason)
}

func (f *File) decodeError(section string, err error) error {
	var semanticErr *json.SemanticError
	if !errors.As(err, &semanticErr) {
		return f.syntaxError(err)
	}
	line := f.lineAt(f.sectionOffsets[section] + semanticErr.ByteOffset)
	field := section + string(semanticErr.JSONPointer)
	reason := fmt.Sprintf("JSON %s does not fit Go %v", semanticErr.JSONKind, semanticErr.GoType)
	if semanticErr.Err != nil {
		reason = semanticErr.Err.Error()
	}
	return errors.Newf("%s:%d: %s: %s", f.name, line, field, reason)
}

func (f *File) syntaxError(err error) error {
	var syntacticErr *jsontext.SyntacticError
	if errors.As(err, &syntacticErr) {
		return errors.Newf("%s:%d: %s: %v", f.name, f.lineAt(syntacticErr.ByteOffset), strings.TrimPrefix(string(syntacticErr.JSONPointer), "/"), syntacticErr.Err)
	}
	return errors.Wrap(err, f.name)
}

// fieldLine returns the line number of a field in a section, or the line number of the
// section if the section does not set the field.
func (f *File) fieldLine(section, field string) int {
	d := jsontext.NewDecoder(bytes.NewReader(f.sections[section]))
	want := jsontext.Pointer("/" + field)
	for {
		if _, err := d.ReadToken(); err != nil {
			return f.SectionLine(section)
		}
		if d.StackPointer() == want {
			return f.lineAt(f.sectionOffsets[section] + d.InputOffset() - 1)
		}
	}
}

func (f *File) lineAt(offset int64) int {
	offset = min(max(offset, 0), int64(len(f.standardJSON)))
	return 1 + bytes.Count(f.standardJSON[:offset], []byte("\n"))
}

// RejectUnknownSections returns an error if the file has a section that is not in knownSections.
func (f *File) RejectUnknownSections(knownSections map[string]bool) error {
	for name := range f.sections {
		if !knownSections[name] {
			return errors.Newf("%s:%d: section %q belongs to no plug-in of this program", f.name, f.SectionLine(name), name)
		}
	}
	return nil
}
