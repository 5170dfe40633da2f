package httphead

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// limitFields maps a type of net/http to its field that limits the heads that it reads.
var limitFields = map[string]string{"Server": "MaxHeaderBytes", "Transport": "MaxResponseHeaderBytes"}

// Guards against servers and clients that limit heads only by the defaults of net/http,
// 1 MB for requests and 10 MB for responses, or not at all.
func TestEveryHeadReaderHasALimit(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, _ := filepath.Rel(root, path)
		// Skip the test harness, and this package, which implements the limit.
		if strings.HasPrefix(name, "test/") || strings.HasPrefix(name, "core/httphead/") {
			return nil
		}
		files++
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch v := n.(type) {
			case *ast.CompositeLit:
				if field := limitFields[httpName(v.Type)]; field != "" && !setsField(v, field) {
					t.Errorf("%s:%d: http.%s without %s", name, set.Position(v.Pos()).Line, httpName(v.Type), field)
				}
			case *ast.SelectorExpr:
				if s := httpName(v); s == "ReadResponse" || s == "DefaultClient" || s == "DefaultTransport" {
					t.Errorf("%s:%d: http.%s reads heads without a limit", name, set.Position(v.Pos()).Line, s)
				}
			}
			return true
		})
		return nil
	})
	if err != nil || files < 100 {
		t.Fatalf("%d files read: %v", files, err)
	}
}

// httpName returns the name X if the expression is http.X; otherwise it returns "".
func httpName(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != "http" {
		return ""
	}
	return s.Sel.Name
}

func setsField(c *ast.CompositeLit, field string) bool {
	for _, e := range c.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if k, ok := kv.Key.(*ast.Ident); ok && k.Name == field {
				return true
			}
		}
	}
	return false
}
