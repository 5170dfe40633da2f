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

type fake struct {
	name    string
	journal *[]string
	c       *Context
	start   func(c *Context) error
	drain   func(c *Context)
}

func (f *fake) Drain() {
	if f.drain != nil {
		f.drain(f.c)
	}
}

func (f *fake) Start(context.Context) error {
	*f.journal = append(*f.journal, "start "+f.name)
	if f.start == nil {
		return nil
	}
	return f.start(f.c)
}

func (f *fake) Stop(context.Context) error {
	*f.journal = append(*f.journal, "stop "+f.name)
	return nil
}

func register(t *testing.T, journal *[]string, name string, needs, after []string, start func(c *Context) error) {
	t.Helper()
	Register(Registration{Name: name, Needs: needs, After: after, New: func(c *Context) (Plugin, error) {
		return &fake{name: name, journal: journal, c: c, start: start}, nil
	}})
	t.Cleanup(func() { delete(registry, name) })
}

func build(t *testing.T, names ...string) (*Kernel, error) {
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

// Guards against plug-ins that start before what they need, or outlive it.
func TestStartAndStopOrder(t *testing.T) {
	var journal []string
	register(t, &journal, "top", []string{"base"}, []string{"side"}, nil)
	register(t, &journal, "side", []string{"base"}, nil, nil)
	register(t, &journal, "base", nil, nil, nil)
	k, err := build(t, "top", "side", "base")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Run(ctx); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(journal, ", ")
	if want := "start base, start side, start top, stop top, stop side, stop base"; got != want {
		t.Fatalf("order %q, want %q", got, want)
	}
}

// Guards against cycles and missing plug-ins that show only at run time.
func TestBadSelectionsAreRefused(t *testing.T) {
	var journal []string
	register(t, &journal, "x", []string{"y"}, nil, nil)
	register(t, &journal, "y", []string{"x"}, nil, nil)
	for _, names := range [][]string{{"x", "y"}, {"x"}, {"none"}} {
		if _, err := build(t, names...); err == nil {
			t.Errorf("plug-ins %v were accepted", names)
		}
	}
}

// Guards against a panic in a job that leaves the process running on a half
// changed table without a word.
func TestPanicInJobEndsTheProcess(t *testing.T) {
	var journal []string
	register(t, &journal, "p", nil, nil, func(c *Context) error {
		c.After(time.Millisecond, "k", func() { panic("broken table") })
		return nil
	})
	k, err := build(t, "p")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := k.Run(ctx); err == nil || !strings.Contains(err.Error(), "broken table") {
		t.Fatalf("run ended with %v", err)
	}
	if journal[len(journal)-1] != "stop p" {
		t.Fatalf("plug-in was not stopped: %v", journal)
	}
}

// Guards against a failure during a planned stop that nobody learns of: the process
// ended with exit code 0 and no log line.
func TestFailureDuringThePlannedStopIsReported(t *testing.T) {
	var journal []string
	Register(Registration{Name: "f", New: func(c *Context) (Plugin, error) {
		return &fake{name: "f", journal: &journal, c: c, drain: func(c *Context) {
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
	if journal[len(journal)-1] != "stop f" {
		t.Errorf("plug-in was not stopped: %v", journal)
	}
}
