// Package kerneltest starts kernels inside tests.
package kerneltest

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// stopTimeout bounds the stop of a kernel at the end of a test.
const stopTimeout = 20 * time.Second

// Key is the fleet key of tests.
const Key = "test-fleet-key-0123456789"

// KeyFile writes Key to a file of the test and returns its path.
func KeyFile(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.key")
	if err := os.WriteFile(path, []byte(Key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

var ports struct {
	sync.Mutex
	taken map[string]bool
}

// ip is the loopback address of this test program. Outgoing connections take
// their ports on 127.0.0.1 and other test programs have other addresses, so
// neither takes a port between its choice and its use, or during a restart.
var ip = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%254)

// FreeAddress returns a free loopback address IP:port. No two calls in one test
// program return the same one.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.taken == nil {
		ports.taken = map[string]bool{}
	}
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !ports.taken[a] {
			ports.taken[a] = true
			return a
		}
	}
	t.Fatal("no free port found")
	return ""
}

// Start runs plug-ins with settings text in this process. The returned function
// stops them and is also called at the end of the test.
func Start(t testing.TB, plugins []string, text string, bootstrap bool) (*kernel.Kernel, func()) {
	t.Helper()
	file, err := settings.Parse("test.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	k, err := kernel.New(kernel.Options{Plugins: plugins, Settings: file, Log: logWriter(), Bootstrap: bootstrap})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("kernel failed: %v", err)
			}
		case <-time.After(stopTimeout):
			t.Error("kernel did not stop")
		}
	}
	t.Cleanup(stop)
	return k, stop
}

// Wait calls ok every few milliseconds until it returns true, and fails the
// test after the timeout.
func Wait(t testing.TB, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %v: %s", timeout, what)
}

// logWriter shows the log of kernels when CELERYYARD_TEST_LOG is set.
func logWriter() io.Writer {
	if os.Getenv("CELERYYARD_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
