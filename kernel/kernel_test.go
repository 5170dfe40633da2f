package kernel

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/settings"
)

type fakePlugin struct {
	name    string
	calls   *[]string
	context *Context
	start   func(c *Context) error
	drain   func(c *Context)
}

func (f *fakePlugin) Drain() {
	if f.drain != nil {
		f.drain(f.context)
	}
}

func (f *fakePlugin) Start(context.Context) error {
	*f.calls = append(*f.calls, "start "+f.name)
	if f.start == nil {
		return nil
	}
	return f.start(f.context)
}

func (f *fakePlugin) Stop(context.Context) error {
	*f.calls = append(*f.calls, "stop "+f.name)
	return nil
}

func registerFake(t *testing.T, calls *[]string, name string, needs, after []string, start func(c *Context) error) {
	t.Helper()
	Register(Registration{Name: name, Needs: needs, After: after, New: func(c *Context) (Plugin, error) {
		return &fakePlugin{name: name, calls: calls, context: c, start: start}, nil
	}})
	t.Cleanup(func() { delete(registry, name) })
}

func newTestKernel(t *testing.T, names ...string) (*Kernel, error) {
	t.Helper()
	return New(Options{Plugins: names, Settings: testSettings(t), Log: io.Discard})
}

func testSettings(t *testing.T) *settings.File {
	t.Helper()
	f, err := settings.Parse("t.json", []byte(`{"instance": {"name": "t", "stop_timeout": "5s"}}`))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against plug-ins that start before a plug-in that they need, or stop after it.
func TestStartAndStopFollowDependencies(t *testing.T) {
	var calls []string
	registerFake(t, &calls, "top", []string{"base"}, []string{"side"}, nil)
	registerFake(t, &calls, "side", []string{"base"}, nil, nil)
	registerFake(t, &calls, "base", nil, nil, nil)
	k, err := newTestKernel(t, "top", "side", "base")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Run(ctx); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(calls, ", ")
	if want := "start base, start side, start top, stop top, stop side, stop base"; got != want {
		t.Fatalf("order %q, want %q", got, want)
	}
}

// Guards against dependency cycles and missing plug-ins that are found only at run time.
func TestInvalidSelectionsAreRejected(t *testing.T) {
	var calls []string
	registerFake(t, &calls, "x", []string{"y"}, nil, nil)
	registerFake(t, &calls, "y", []string{"x"}, nil, nil)
	for _, names := range [][]string{{"x", "y"}, {"x"}, {"none"}} {
		if _, err := newTestKernel(t, names...); err == nil {
			t.Errorf("plug-ins %v were accepted", names)
		}
	}
}

// Guards against a panic in a job that goes unreported and leaves the process running
// with inconsistent tables.
func TestPanicInJobEndsTheProcess(t *testing.T) {
	var calls []string
	registerFake(t, &calls, "p", nil, nil, func(c *Context) error {
		c.RunAfter(time.Millisecond, "k", func() { panic("broken table") })
		return nil
	})
	k, err := newTestKernel(t, "p")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := k.Run(ctx); err == nil || !strings.Contains(err.Error(), "broken table") {
		t.Fatalf("run ended with %v", err)
	}
	if calls[len(calls)-1] != "stop p" {
		t.Fatalf("plug-in was not stopped: %v", calls)
	}
}

// Guards against an unreported failure during a planned stop: the process ended with
// exit code 0 and without a log line.
func TestFailureDuringThePlannedStopIsReported(t *testing.T) {
	var calls []string
	Register(Registration{Name: "f", New: func(c *Context) (Plugin, error) {
		return &fakePlugin{name: "f", calls: &calls, context: c, drain: func(c *Context) {
			c.Fail(errors.New("disk is broken"))
		}}, nil
	}})
	t.Cleanup(func() { delete(registry, "f") })
	var log strings.Builder
	k, err := New(Options{Plugins: []string{"f"}, Settings: testSettings(t), Log: &log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Run(ctx); err == nil || !strings.Contains(err.Error(), "disk is broken") {
		t.Errorf("run ended with %v", err)
	}
	if !strings.Contains(log.String(), `"event":104,`) {
		t.Errorf("no event 104 in the log:\n%s", log.String())
	}
	if calls[len(calls)-1] != "stop f" {
		t.Errorf("plug-in was not stopped: %v", calls)
	}
}

// Guards against a runtime that does not know the memory of its machine, and against settings whose memory is a fraction.
func TestRuntimeMemoryLimitFollowsTheMemory(t *testing.T) {
	for text, want := range map[string]int64{`0`: 0, `280`: 112 << 20, `283.5`: 118908518} {
		file, err := settings.Parse("test.json", []byte(`{"instance": {"name": "a", "memory_mb": `+text+`}}`))
		if err != nil {
			t.Fatal(err)
		}
		i := DefaultInstance()
		if err := file.Decode("instance", &i); err != nil {
			t.Fatal(err)
		}
		if got := i.runtimeMemoryLimit(); got != want {
			t.Errorf("%s: limit of %d bytes, want %d", text, got, want)
		}
	}
}
