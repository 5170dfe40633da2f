package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// fill fills in the placeholders of a template as the platform does: values, values as JSON, and
// sections that appear if the value is present. Other forms are not needed by this project's templates.
func fill(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("placeholder without end behind %.40q", before)
		}
		if section, ok := strings.CutPrefix(name, "#"); ok {
			inner, after, found := strings.Cut(rest, "{{/"+section+"}}")
			if !found {
				return "", fmt.Errorf("section %s without end", section)
			}
			text = after
			value := lookUp(fields, section)
			if value == nil || value == false {
				continue
			}
			filled, err := fill(strings.ReplaceAll(inner, "{{.}}", fmt.Sprint(value)), fields)
			if err != nil {
				return "", err
			}
			out.WriteString(filled)
			continue
		}
		text = rest
		path, asJSON := strings.CutSuffix(name, "|json")
		value := lookUp(fields, path)
		if !asJSON {
			if value != nil {
				fmt.Fprint(&out, value)
			}
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		out.Write(encoded)
	}
}

// lookUp returns the value at a path such as limits.linkMbps or internalPortRange.0; nil if there is none.
func lookUp(fields map[string]any, path string) any {
	var current any = fields
	for part := range strings.SplitSeq(path, ".") {
		switch c := current.(type) {
		case map[string]any:
			current = c[part]
		case []int:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i < 0 || i >= len(c) {
				return nil
			}
			current = c[i]
		default:
			return nil
		}
	}
	return current
}
