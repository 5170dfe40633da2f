package role

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/role/control"
)

// Guards against a --check-config that accepts settings with which the program does not start, and
// against errors without the file, line and field.
func TestCheckConfigReadsNamedFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key := write("key", strings.Repeat("k", 64))
	short := write("short", "k")
	tokens := write("tokens", `{"operators": [{"name": "a", "organisation": "o", "roles": [], "token": "0123456789abcdef"}]}`)
	role := write("role", `{"operators": [{"name": "a", "organisation": "o", "roles": ["boss"], "token": "0123456789abcdef"}]}`)
	for _, tc := range []struct {
		key, tokens, folder string
		code                int
		want                string
	}{
		{key, tokens, dir, kernel.ExitOK, "valid"},
		{filepath.Join(dir, "none"), tokens, dir, kernel.ExitUsage, "s.json:2: instance/fleet_key_file: "},
		{short, tokens, dir, kernel.ExitUsage, "s.json:2: instance/fleet_key_file: "},
		{key, filepath.Join(dir, "none"), dir, kernel.ExitUsage, "s.json:3: operator/tokens_file: "},
		{key, role, dir, kernel.ExitUsage, `"boss" is not one of`},
		{key, tokens, "", kernel.ExitUsage, "instance/data_folder: "},
	} {
		file := write("s.json", fmt.Sprintf("{\n\"instance\": {\"name\": \"a\", \"fleet_key_file\": %q, \"data_folder\": %q},\n"+
			"\"operator\": {\"listen\": \"127.0.0.1:1\", \"tokens_file\": %q}, \"quorum\": {\"voters\": [\"a\"]}}", tc.key, tc.folder, tc.tokens))
		var out bytes.Buffer
		if code := kernel.Main("celeryyard-control", control.Plugins(), []string{"--settings", file, "--check-config"}, &out, &out); code != tc.code || !strings.Contains(out.String(), tc.want) {
			t.Errorf("exit code %d, want %d; output lacks %q: %s", code, tc.code, tc.want, &out)
		}
	}
}
