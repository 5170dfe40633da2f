// Package kerneltest provides helpers for tests that run kernels.
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
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// stopTimeout bounds how long a kernel may take to stop.
const stopTimeout = 20 * time.Second

// FleetKey is the fleet key that tests use.
const FleetKey = "test-fleet-key-0123456789"

// WriteFleetKeyFile writes the fleet key to a temporary file and returns its path.
func WriteFleetKeyFile(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.key")
	if err := os.WriteFile(path, []byte(FleetKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

var addresses struct {
	sync.Mutex
	taken map[string]bool
}

// loopbackIP is a loopback address that depends on the process ID of the test binary. Nothing
// else can occupy its ports between their allocation and use, or during a restart: outgoing
// connections use ports of 127.0.0.1, and other test binaries use other addresses.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%254)

// FreeAddress returns an unused loopback address IP:port. It never returns the same
// address twice in one test binary.
func FreeAddress(t testing.TB) string {
	t.Helper()
	addresses.Lock()
	defer addresses.Unlock()
	if addresses.taken == nil {
		addresses.taken = map[string]bool{}
	}
	for range 100 {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !addresses.taken[a] {
			addresses.taken[a] = true
			return a
		}
	}
	t.Fatal("no free port found")
	return ""
}

// Start runs a kernel with the plug-ins and the text of a settings file. The returned
// function stops the kernel; it is also called at the end of the test.
func Start(t testing.TB, plugins []string, text string, bootstrap bool) (*kernel.Kernel, func()) {
	t.Helper()
	return StartWithClock(t, plugins, text, bootstrap, clock.System{})
}

// StartWithClock is like Start with a clock other than that of the operating system.
func StartWithClock(t testing.TB, plugins []string, text string, bootstrap bool, c clock.Clock) (*kernel.Kernel, func()) {
	t.Helper()
	file, err := settings.Parse("test.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	k, err := kernel.New(kernel.Options{Plugins: plugins, Settings: file, Log: newLogWriter(), Bootstrap: bootstrap, Clock: c})
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

// WaitUntil polls condition every 5 ms until it returns true, and fails the test after the
// timeout.
func WaitUntil(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %v: %s", timeout, what)
}

// WaitForServer waits until the HTTP server at the address answers. Start returns before listeners are open; without this wait, a
// first request is refused on a busy machine.
func WaitForServer(t testing.TB, addr string) {
	t.Helper()
	WaitUntil(t, 5*time.Second, "listener at "+addr, func() bool {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return false
		}
		defer c.Close()
		// On shutdown, a server waits five seconds for a connection that never carried a request.
		_, err = io.WriteString(c, "GET /v1/status HTTP/1.0\r\n\r\n")
		if err == nil && c.SetReadDeadline(time.Now().Add(time.Second)) == nil {
			_, err = c.Read(make([]byte, 1))
		}
		return err == nil
	})
}

// newLogWriter returns the destination of kernel logs: stderr if the environment variable
// CELERYYARD_TEST_LOG is set; otherwise logs are discarded.
func newLogWriter() io.Writer {
	if os.Getenv("CELERYYARD_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
