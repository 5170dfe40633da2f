package operator_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an operator's token that is in use again after the restart of a control instance, although it was removed
// from the tokens file before, and against an identity that outlives its token.
func TestWithdrawnTokenIsRefusedAfterARestart(t *testing.T) {
	text, err := os.ReadFile("../../examples/operators.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operators.json")
	restartWith := func(tokens string) *testServer {
		if err := os.WriteFile(path, []byte(tokens), 0o600); err != nil {
			t.Fatal(err)
		}
		return startServerWithTokens(t, path, "")
	}
	status := func(s *testServer, token string) int {
		code, _ := s.call("GET", "/v1/status", token, "")
		return code
	}
	const renewed = "example-token-tacto-norte-ines-renewed"
	before := restartWith(string(text))
	if code := status(before, tokenInes); code != http.StatusOK {
		t.Fatalf("token in the file: status %d", code)
	}
	after := restartWith(strings.Replace(string(text), tokenInes, renewed, 1))
	for token, want := range map[string]int{tokenInes: http.StatusUnauthorized, renewed: http.StatusOK, tokenBerto: http.StatusOK, "": http.StatusUnauthorized} {
		if code := status(after, token); code != want {
			t.Errorf("after the restart, token %q: status %d, want %d", token, code, want)
		}
	}
}
