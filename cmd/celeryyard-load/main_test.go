package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against experiments that cannot run because their kernels have no plug-ins.
func TestExperimentRunsThePluginsOfTheOtherPrograms(t *testing.T) {
	file := filepath.Join(t.TempDir(), "experiment.json")
	text := `{"instance": {"log_level": "error"}, "experiment": {"nodes": [3], "changes": 2, "missed": 1, "duration": "1s", "coalesce": ["0s"]}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	code := run([]string{"experiment", "--settings", file, "convergence"}, &out, &out)
	if strings.Contains(out.String(), "error:") || !strings.Contains(out.String(), "convergence p99") {
		t.Fatalf("exit code %d:\n%s", code, &out)
	}
}
