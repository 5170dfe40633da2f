package trace_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

// Guards against recorded lines that are lost, reordered or cannot be parsed.
func TestRecordedLinesAreReadBack(t *testing.T) {
	dir := t.TempDir()
	text := fmt.Sprintf(`{"instance": {"name": "a", "data_folder": %q}, "trace": {"file": "t.jsonl"}}`, dir)
	k, stop := kerneltest.Start(t, []string{"trace"}, text, false)
	tr := k.Plugin("trace").(*trace.Trace)
	const n = 500
	for i := range n {
		tr.Record("test", "kind", time.Unix(int64(i), 0), "n", map[string]int{"i": i})
	}
	path := filepath.Join(dir, "t.jsonl")
	var lines []trace.Line
	kerneltest.WaitUntil(t, 10*time.Second, "all lines on disk", func() bool {
		b, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		lines, err = trace.Parse(b)
		return err == nil && len(lines) == n
	})
	stop()
	for i, l := range lines {
		if l.At.Unix() != int64(i) || l.Kind != "kind" || l.From != "n" {
			t.Fatalf("line %d is %+v", i, l)
		}
	}
}
