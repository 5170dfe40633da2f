package resource

import (
	"fmt"
	"strconv"
	"unicode"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// parameterValue is the value of a parameter: items for a list parameter, text for any other.
type parameterValue struct {
	text  string
	items []string
}

// decode decodes the value v of the parameter and checks that v has the declared type and is within
// the declared bounds.
func (p Parameter) decode(field string, v jsontext.Value) (parameterValue, error) {
	switch p.Type {
	case TypeInt:
		return p.decodeInt(field, v)
	case TypeBool:
		s := string(v)
		if s != "true" && s != "false" {
			return parameterValue{}, fieldErrorf(field, "must be true or false")
		}
		return parameterValue{text: s}, nil
	case TypeList:
		return p.decodeList(field, v)
	default:
		return p.decodeString(field, v)
	}
}

func (p Parameter) decodeInt(field string, v jsontext.Value) (parameterValue, error) {
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return parameterValue{}, fieldErrorf(field, "must be a whole number of 64 bits")
	}
	if err := p.checkBounds(field, n, "value"); err != nil {
		return parameterValue{}, err
	}
	return parameterValue{text: strconv.FormatInt(n, 10)}, nil
}

func (p Parameter) decodeString(field string, v jsontext.Value) (parameterValue, error) {
	var s string
	if v.Kind() != '"' || json.Unmarshal(v, &s) != nil {
		return parameterValue{}, fieldErrorf(field, "must be a string")
	}
	if err := checkText(field, s); err != nil {
		return parameterValue{}, err
	}
	return parameterValue{text: s}, p.checkBounds(field, int64(len(s)), "length")
}

func (p Parameter) decodeList(field string, v jsontext.Value) (parameterValue, error) {
	var items []string
	if v.Kind() != '[' || json.Unmarshal(v, &items) != nil {
		return parameterValue{}, fieldErrorf(field, "must be a list of strings")
	}
	if len(items) > MaxListItems {
		return parameterValue{}, fieldErrorf(field, "%d items are above the limit of %d", len(items), MaxListItems)
	}
	seen := make(map[string]bool, len(items))
	for i, s := range items {
		if err := checkText(fmt.Sprintf("%s/%d", field, i), s); err != nil {
			return parameterValue{}, err
		}
		if seen[s] {
			return parameterValue{}, fieldErrorf(fmt.Sprintf("%s/%d", field, i), "%q is in the list twice", truncate(s))
		}
		seen[s] = true
	}
	return parameterValue{items: items}, p.checkBounds(field, int64(len(items)), "length")
}

func (p Parameter) checkBounds(field string, n int64, quantity string) error {
	if p.Min != nil && n < *p.Min {
		return fieldErrorf(field, "%s %d is below %d", quantity, n, *p.Min)
	}
	if p.Max != nil && n > *p.Max {
		return fieldErrorf(field, "%s %d is above %d", quantity, n, *p.Max)
	}
	return nil
}

func checkText(field, s string) error {
	if len(s) > MaxTextBytes {
		return fieldErrorf(field, "%d bytes are above the limit of %d", len(s), MaxTextBytes)
	}
	for _, r := range s {
		if unicode.IsControl(r) {
			return fieldErrorf(field, "%q has a control character", truncate(s))
		}
	}
	return nil
}
