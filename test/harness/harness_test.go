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

// Guards against processes that outlive their test or cannot be stopped,
// frozen, killed and started again on the same address.
func TestProcessLifecycle(t *testing.T) {
	listen, admin := Address(t), Address(t)
	p := NewProcess(t, t.TempDir(), "u1", "celeryyard-upstream", map[string]any{
		"instance": map[string]any{"name": "u1"},
		"admin":    map[string]any{"listen": admin},
		"standin":  map[string]any{"service": "s", "listen": listen},
	})
	p.Admin = admin
	for range 2 {
		p.Start()
		WaitReady(t, 10*time.Second, p)
		if p.MemoryMB() <= 0 {
			t.Error("memory of a running process is not known")
		}
		p.Freeze()
		if p.Ready() {
			t.Error("a frozen process answers")
		}
		p.Thaw()
		WaitReady(t, 10*time.Second, p)
		p.Kill()
		if p.Running() {
			t.Fatal("a killed process runs")
		}
	}
	p.Start()
	WaitReady(t, 10*time.Second, p)
	if _, ok := p.Metric("celeryyard_standin_executions_total"); !ok {
		t.Error("metric is missing")
	}
	if code := p.Stop(); code != 0 {
		t.Errorf("planned stop ended with code %d", code)
	}
	if !p.LogHas(102) {
		t.Error("the log lacks the event of the stop")
	}
}

// Guards against a relay that loses or mixes bytes, or lets bytes through while
// it is cut.
func TestRelayCutsAndHeals(t *testing.T) {
	echo, err := net.Listen("tcp", Address(t))
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
		t.Fatalf("relayed bytes differ, error %v", err)
	}
	if d := time.Since(started); d < 10*time.Millisecond {
		t.Errorf("there and back took %v through a delay of 5 ms", d)
	}
	r.Cut()
	late := dial()
	for _, cn := range []net.Conn{c, late} {
		_, _ = cn.Write([]byte("x"))
		_ = cn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := cn.Read(got); n > 0 || err == nil || err == io.EOF {
			t.Fatalf("cut relay: %d bytes, error %v", n, err)
		}
	}
	r.Heal()
	fresh := dial()
	_, _ = fresh.Write([]byte("y"))
	_ = fresh.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := fresh.Read(got); n != 1 || got[0] != 'y' {
		t.Fatalf("healed relay: %d bytes, error %v", n, err)
	}
}
