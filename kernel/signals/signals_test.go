package signals

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a program that does not import kernel/signals/early: a signal would end the
// program while its packages are initialized.
func TestProgramsCatchSignalsEarly(t *testing.T) {
	found := 0
	for _, pattern := range []string{"../../cmd/*/main.go", "../../platform/cmd/*/main.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Contains(text, []byte("kernel.Main(")) {
				continue
			}
			found++
			if !bytes.Contains(text, []byte(`/kernel/signals/early"`)) {
				t.Errorf("%s calls kernel.Main and does not import kernel/signals/early", file)
			}
		}
	}
	if found != 5 {
		t.Errorf("%d programs call kernel.Main, want 5", found)
	}
}
