package resource

import (
	"fmt"
	"strconv"
	"unicode"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// value is a parameter as text, or as a list of texts.
type value struct {
	text  string
	items []string
}

// value decodes v according to the declared type and bounds.
func (p Parameter) value(field string, v jsontext.Value) (value, error) {
	switch p.Type {
	case TypeInt:
		return p.intValue(field, v)
	case TypeBool:
		s := string(v)
		if s != "true" && s != "false" {
			return value{}, invalid(field, "must be true or false")
		}
		return value{text: s}, nil
	case TypeList:
		return p.listValue(field, v)
	default:
		return p.stringValue(field, v)
	}
}

func (p Parameter) intValue(field string, v jsontext.Value) (value, error) {
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return value{}, invalid(field, "must be a whole number of 64 bits")
	}
	if err := p.bounds(field, n, "value"); err != nil {
		return value{}, err
	}
	return value{text: strconv.FormatInt(n, 10)}, nil
}

func (p Parameter) stringValue(field string, v jsontext.Value) (value, error) {
	var s string
	if v.Kind() != '"' || json.Unmarshal(v, &s) != nil {
		return value{}, invalid(field, "must be a string")
	}
	if err := checkText(field, s); err != nil {
		return value{}, err
	}
	return value{text: s}, p.bounds(field, int64(len(s)), "length")
}

func (p Parameter) listValue(field string, v jsontext.Value) (value, error) {
	var items []string
	if v.Kind() != '[' || json.Unmarshal(v, &items) != nil {
		return value{}, invalid(field, "must be a list of strings")
	}
	if len(items) > MaxItems {
		return value{}, invalid(field, "%d items are above the limit of %d", len(items), MaxItems)
	}
	seen := make(map[string]bool, len(items))
	for i, s := range items {
		if err := checkText(fmt.Sprintf("%s/%d", field, i), s); err != nil {
			return value{}, err
		}
		if seen[s] {
			return value{}, invalid(fmt.Sprintf("%s/%d", field, i), "%q is in the list twice", clip(s))
		}
		seen[s] = true
	}
	return value{items: items}, p.bounds(field, int64(len(items)), "length")
}

func (p Parameter) bounds(field string, n int64, what string) error {
	if p.Min != nil && n < *p.Min {
		return invalid(field, "%s %d is below %d", what, n, *p.Min)
	}
	if p.Max != nil && n > *p.Max {
		return invalid(field, "%s %d is above %d", what, n, *p.Max)
	}
	return nil
}

func checkText(field, s string) error {
	if len(s) > MaxTextBytes {
		return invalid(field, "%d bytes are above the limit of %d", len(s), MaxTextBytes)
	}
	for _, r := range s {
		if unicode.IsControl(r) {
			return invalid(field, "%q has a control character", clip(s))
		}
	}
	return nil
}
