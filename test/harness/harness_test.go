package harness

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) { os.Exit(Main(m)) }

// Guards against processes that cannot be stopped, frozen or killed, that cannot be started again on
// the same address, or that outlive their test.
func TestProcessLifecycle(t *testing.T) {
	listen, admin := FreeAddress(t), FreeAddress(t)
	p := NewProcess(t, t.TempDir(), "u1", "celeryyard-upstream", map[string]any{
		"instance": map[string]any{"name": "u1"},
		"admin":    map[string]any{"listen": admin},
		"standin":  map[string]any{"service": "s", "listen": listen},
	})
	p.AdminAddress = admin
	for range 2 {
		p.Start()
		WaitReady(t, 10*time.Second, p)
		if p.MemoryMB() <= 0 {
			t.Error("memory use of a running process is unknown")
		}
		p.Freeze()
		if p.IsReady() {
			t.Error("frozen process is ready")
		}
		p.Thaw()
		WaitReady(t, 10*time.Second, p)
		p.Kill()
		if p.IsRunning() {
			t.Fatal("killed process is still running")
		}
	}
	p.Start()
	WaitReady(t, 10*time.Second, p)
	if _, ok := p.Metric("celeryyard_standin_executions_total"); !ok {
		t.Error("metric celeryyard_standin_executions_total is missing")
	}
	if code := p.Stop(); code != 0 {
		t.Errorf("planned stop returned exit code %d", code)
	}
	if !p.HasLoggedEvent(102) {
		t.Error("event 102 of the planned stop is missing from the log")
	}
}

// Guards against a relay that loses or reorders bytes, or forwards bytes while it is cut.
func TestRelayCutsAndHeals(t *testing.T) {
	echo, err := net.Listen("tcp", FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for c, err := echo.Accept(); err == nil; c, err = echo.Accept() {
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r := NewRelay(t, echo.Addr().String(), 5*time.Millisecond)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	data := bytes.Repeat([]byte("0123456789"), 50_000)
	c := dial()
	started := time.Now()
	go func() { _, _ = c.Write(data) }()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("relayed bytes differ from those sent, error %v", err)
	}
	if d := time.Since(started); d < 10*time.Millisecond {
		t.Errorf("round trip took %v with a delay of 5 ms in each direction", d)
	}
	r.Cut()
	late := dial()
	for _, cn := range []net.Conn{c, late} {
		_, _ = cn.Write([]byte("x"))
		_ = cn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := cn.Read(got); n > 0 || err == nil || err == io.EOF {
			t.Fatalf("read through the cut relay returned %d bytes, error %v", n, err)
		}
	}
	r.Heal()
	fresh := dial()
	_, _ = fresh.Write([]byte("y"))
	_ = fresh.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := fresh.Read(got); n != 1 || got[0] != 'y' {
		t.Fatalf("read through the healed relay returned %d bytes, error %v", n, err)
	}
}
