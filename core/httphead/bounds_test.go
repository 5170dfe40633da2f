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

// bounded names the field that bounds the heads that a type of net/http reads.
var bounded = map[string]string{"Server": "MaxHeaderBytes", "Transport": "MaxResponseHeaderBytes"}

// Guards against a listener or client whose heads have the default bound of
// net/http, 1 MB for requests and 10 MB for answers, or none at all.
func TestEveryReaderOfHeadsIsBounded(t *testing.T) {
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
		// The harness of the tests and this package, which applies the bound.
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
				if field := bounded[ofHTTP(v.Type)]; field != "" && !sets(v, field) {
					t.Errorf("%s:%d: http.%s without %s", name, set.Position(v.Pos()).Line, ofHTTP(v.Type), field)
				}
			case *ast.SelectorExpr:
				if s := ofHTTP(v); s == "ReadResponse" || s == "DefaultClient" || s == "DefaultTransport" {
					t.Errorf("%s:%d: http.%s reads heads without a bound", name, set.Position(v.Pos()).Line, s)
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

// ofHTTP returns the name behind "http." or "".
func ofHTTP(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != "http" {
		return ""
	}
	return s.Sel.Name
}

func sets(c *ast.CompositeLit, field string) bool {
	for _, e := range c.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if k, ok := kv.Key.(*ast.Ident); ok && k.Name == field {
				return true
			}
		}
	}
	return false
}
