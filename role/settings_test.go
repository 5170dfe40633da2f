package role

import (
	"encoding"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/celeryyard/celeryyard/kernel"
)

var updatePage = flag.Bool("update", false, "write docs/settings.md instead of comparing it")

const settingsPage = "../docs/settings.md"

// Guards against a page of settings that differs from the comments and defaults in the code.
func TestSettingsReferenceMatchesCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings reference\n\nWritten from the code by `go test ./role -run SettingsReference -update`; a test compares it.\n" +
		"Each program takes one file, JSON with comments, with a section for each of its plug-ins.\n")
	instance := kernel.DefaultInstance()
	writeSection(t, &b, "instance", "../kernel", reflect.ValueOf(instance))
	for _, name := range kernel.RegisteredNames() {
		if s := kernel.DefaultSettings(name); s != nil {
			writeSection(t, &b, name, filepath.Join("../plugin", name), reflect.ValueOf(s).Elem())
		}
	}
	if *updatePage {
		if err := os.WriteFile(settingsPage, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != b.String() {
		t.Fatal("docs/settings.md differs from the code; run: go test ./role -run SettingsReference -update")
	}
}

func writeSection(t *testing.T, b *strings.Builder, name, dir string, v reflect.Value) {
	t.Helper()
	fmt.Fprintf(b, "\n## %s\n\n| field | default | meaning |\n|---|---|---|\n", name)
	writeFields(t, b, "", v, fieldComments(t, dir))
}

// writeFields writes a row for each field, including the fields of nested structs and of lists of
// structs.
func writeFields(t *testing.T, b *strings.Builder, prefix string, v reflect.Value, doc map[string]string) {
	t.Helper()
	for i := range v.NumField() {
		f := v.Type().Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		meaning := doc[v.Type().Name()+"."+f.Name]
		if meaning == "" {
			t.Errorf("field %s%s of type %s has no comment", prefix, tag, v.Type())
		}
		fmt.Fprintf(b, "| `%s%s` | %s | %s |\n", prefix, tag, formatDefault(v.Field(i)), meaning)
		switch inner := v.Field(i); {
		case inner.Kind() == reflect.Struct:
			writeFields(t, b, prefix+tag+"/", inner, doc)
		case inner.Kind() == reflect.Slice && inner.Type().Elem().Kind() == reflect.Struct:
			writeFields(t, b, prefix+tag+"/N/", reflect.Zero(inner.Type().Elem()), doc)
		}
	}
}

// formatDefault formats a default value for a table cell. It returns an empty string for zero values,
// structs, slices and maps.
func formatDefault(v reflect.Value) string {
	if v.Kind() == reflect.Struct || v.Kind() == reflect.Slice || v.Kind() == reflect.Map || v.IsZero() {
		return ""
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err == nil {
			return "`" + string(text) + "`"
		}
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

// fieldComments maps "Type.Field" to the comment of the field, for all structs of the package in dir.
// A comment also applies to the fields on the lines directly below, up to the next comment.
func fieldComments(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	doc := map[string]string{}
	for _, name := range files {
		fileSet := token.NewFileSet()
		f, err := parser.ParseFile(fileSet, name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				addStructComments(fileSet, spec.Name.Name, s, doc)
			}
			return true
		})
	}
	return doc
}

func addStructComments(fileSet *token.FileSet, name string, s *ast.StructType, doc map[string]string) {
	lastText, lastLine := "", 0
	for _, f := range s.Fields.List {
		text := f.Doc.Text()
		if text == "" {
			text = f.Comment.Text()
		}
		fieldLine := fileSet.Position(f.Pos()).Line
		if text == "" && fieldLine == lastLine+1 {
			text = lastText
		}
		lastText, lastLine = text, fileSet.Position(f.End()).Line
		for _, id := range f.Names {
			doc[name+"."+id.Name] = strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
		}
	}
}
