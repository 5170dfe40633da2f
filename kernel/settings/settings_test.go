package settings

import (
	"strings"
	"testing"
	"time"
)

type section struct {
	Listen  string   `json:"listen"`
	Wait    Duration `json:"wait"`
	Workers int      `json:"workers"`
	Members []member `json:"members"`
}

type member struct {
	Address string `json:"address"`
}

func (s *section) Validate() error {
	if s.Workers < 0 {
		return FieldErrorf("workers", "%d is negative", s.Workers)
	}
	for _, m := range s.Members {
		if m.Address == "" {
			return FieldErrorf("members/0/address", "must not be empty")
		}
	}
	return nil
}

// Guards against errors that do not name the file, line and field, and against invalid
// settings that are accepted.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown field", "{\n\"a\": {\n \"lisen\": \"x\"}}", "f.json:3: a/lisen"},
		{"repeated field", "{\"a\": {\"wait\": \"1s\",\n\"wait\": \"1s\"}}", "f.json:2"},
		{"wrong type", "{\"a\": {\n\n\"workers\": \"many\"}}", "f.json:3: a/workers"},
		{"invalid duration", "{\"a\": {\n\"wait\": \"soon\"}}", `f.json:2: a/wait: "soon" is not a duration`},
		{"negative duration", "{\"a\": {\"wait\": \"-1s\"}}", "negative"},
		{"failed check", "{\n// comment\n\"a\": {\n\"workers\": -1}}", "f.json:4: a/workers: -1 is negative"},
		{"failed check in list", "{\"a\": {\"members\": [\n{\"address\": \"\"}]}}", "f.json:2: a/members/0/address"},
		{"truncated text", "{\"a\": {\n", "f.json"},
		{"not an object", "[]", "f.json:1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, err := Parse("f.json", []byte(tc.text))
			if err == nil {
				err = f.Decode("a", &section{})
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v, want it to contain %q", err, tc.want)
			}
		})
	}
}

// Guards against losing the defaults of fields that a section does not set.
func TestUnsetFieldsKeepDefaults(t *testing.T) {
	f, err := Parse("f.json", []byte(`{"a": {"listen": "x",}, /* trailing comma and comment */}`))
	if err != nil {
		t.Fatal(err)
	}
	s := section{Wait: Duration(time.Second)}
	if err := f.Decode("a", &s); err != nil {
		t.Fatal(err)
	}
	if s.Listen != "x" || s.Wait.AsDuration() != time.Second {
		t.Fatalf("decoded %+v", s)
	}
	if err := f.RejectUnknownSections(map[string]bool{"b": true}); err == nil || !strings.Contains(err.Error(), `section "a"`) {
		t.Fatalf("unknown section: %v", err)
	}
}

// FuzzParse guards against panics on arbitrary settings text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a": {"listen": "x", "wait": "1s"}}`))
	f.Add([]byte("{\"a\": {\n// comment\n\"members\": [{}]}}"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		file, err := Parse("f.json", text)
		if err != nil {
			return
		}
		_ = file.Decode("a", &section{})
	})
}
