package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/celeryyard/celeryyard/kernel"
)

// Guards against a trace that lacks lines of the call from one of the log files, contains lines of
// other calls, or is out of order.
func TestTraceShowsOnlyLinesOfOneCallInOrder(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log",
		`{"level":"info","instance":"n1","event":755,"id":"c1","reason":"full","time":"2026-01-01T00:00:00.020Z","message":"sent again"}`,
		`{"level":"info","instance":"n1","event":753,"id":"c10","time":"2026-01-01T00:00:00.021Z","message":"other call"}`,
		`{"level":"info","instance":"n1","event":754,"id":"c1","status":503,"time":"2026-01-01T00:00:00.030Z","message":"not answered"}`)
	b := write("b.log",
		`  1.25 n2 {"level":"info","instance":"n2","event":805,"id":"c1","queued":18,"time":"2026-01-01T00:00:00.010Z","message":"rejected"}`,
		`{"level":"info","instance":"n2","event":753,"id":"c1.x","time":"2026-01-01T00:00:00.005Z","message":"answered"}`,
		`c1 {"cut short`)
	var out bytes.Buffer
	if code := runMain(context.Background(), []string{"trace", "c1", a, b}, &out, &out); code != kernel.ExitOK {
		t.Fatalf("exit code %d: %s", code, &out)
	}
	text, at := out.String(), -1
	for _, want := range []string{"answered (call c1.x)", "queued=18", "reason=full", "status=503", "1 lines"} {
		i := strings.Index(text, want)
		if i <= at {
			t.Fatalf("%q is missing or out of order in\n%s", want, text)
		}
		at = i
	}
	if strings.Contains(text, "other call") {
		t.Fatalf("another call is in\n%s", text)
	}
	if code := runMain(context.Background(), []string{"trace", "c2", a}, &out, &out); code != kernel.ExitFailure {
		t.Fatalf("exit code %d for a call without log lines", code)
	}
}

// FuzzTraceLine guards against log lines that crash the parser.
func FuzzTraceLine(f *testing.F) {
	f.Add([]byte(`{"id":"a","event":1}`))
	f.Fuzz(func(_ *testing.T, line []byte) { _, _ = parseTraceLine(line) })
}
