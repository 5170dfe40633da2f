package e2e

import (
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/test/harness"
)

// signalledFleet is the smallest fleet in which a call passes two nodes: its service has
// one endpoint, beside the second node. The nodes serve on for drain once they are told
// to stop.
func signalledFleet(t *testing.T, drain string) *harness.Fleet {
	t.Helper()
	services := []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 1, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 1, Slots: 9},
	}
	zones := []layout.Zone{{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "gorenjska-a", Region: "gorenjska"}}
	f := harness.NewFleet(t, layout.Spec{Zones: zones, Services: services, Voters: 1, Seed: 1}, false, 0)
	for i, p := range f.Plan.Nodes {
		p.Settings["instance"].(map[string]any)["drain_time"] = drain
		f.Nodes[i].Rewrite(p.Settings)
	}
	f.Start()
	f.Configure()
	f.WaitServing()
	return f
}

// slowCall sends a call that its endpoint works on for delay, and returns once the
// endpoint has begun. The channel gets nil for a complete answer.
func slowCall(t *testing.T, f *harness.Fleet, node int, delay string) <-chan error {
	t.Helper()
	service := f.Plan.Spec.Services[1]
	before := calls(f)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Plan.Nodes[node].Callers+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = service.Host()
	req.Header.Set("X-Call-Fault", "delay="+delay)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
	done := make(chan error, 1)
	go func() {
		res, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil && res.StatusCode != http.StatusOK {
				err = errors.New(res.Status)
			}
		}
		done <- err
	}()
	harness.Wait(t, recovery, "the endpoint works on the call", func() bool { return calls(f) > before })
	return done
}

// calls returns the number of calls that the endpoints work on.
func calls(f *harness.Fleet) float64 {
	sum := 0.0
	for _, u := range f.Upstreams {
		n, _ := u.Metric("celeryyard_standin_calls")
		sum += n
	}
	return sum
}

// Guards against a change of the settings that cuts the calls in flight of a node that
// stops as planned (incident inc1: SIGTERM at t, SIGHUP at t+0.4 s).
func TestHangupAfterTermKeepsTheCallInFlight(t *testing.T) {
	f := signalledFleet(t, "1s")
	done := slowCall(t, f, 0, "2s")
	code := make(chan int, 1)
	began := time.Now()
	go func() { code <- f.Nodes[0].Stop() }()
	time.Sleep(400 * time.Millisecond)
	hangup := time.Now()
	f.Nodes[0].Hangup()
	if err := <-done; err != nil {
		t.Errorf("call in flight: %v, %v after the SIGHUP", err, time.Since(hangup).Round(time.Millisecond))
	}
	if c := <-code; c != 0 {
		t.Errorf("exit code %d %v after the SIGTERM", c, time.Since(began).Round(time.Millisecond))
	}
}

// Guards against a second signal that cuts the calls in flight of a node that stops as
// planned.
func TestSecondSignalKeepsTheCallInFlight(t *testing.T) {
	f := signalledFleet(t, "1s")
	done := slowCall(t, f, 0, "2s")
	node := f.Nodes[0]
	node.Deliver(syscall.SIGTERM)
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		node.Deliver(s)
	}
	if err := <-done; err != nil {
		t.Errorf("call in flight: %v", err)
	}
	if code, by := node.Ended(recovery); code != 0 {
		t.Errorf("node ended with code %d, signal %q", code, by)
	}
}

// Guards against a process that ends by SIGPIPE, with calls in flight, when the reader
// of its log has gone.
func TestLostLogReaderKeepsTheCallInFlight(t *testing.T) {
	f := signalledFleet(t, "1s")
	node := f.Nodes[0]
	if code := node.Stop(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	node.StartTo(w)
	_ = w.Close()
	harness.WaitReady(t, recovery, node)
	f.WaitServing()
	done := slowCall(t, f, 0, "3s")
	_ = r.Close()
	node.Deliver(syscall.SIGHUP) // the reload writes a line
	harness.Wait(t, recovery, "the lost lines are counted", func() bool {
		n, _ := node.Metric("celeryyard_log_dropped_lines_total")
		return n > 0 || !node.Running()
	})
	node.Deliver(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("call in flight: %v", err)
	}
	if code, by := node.Ended(recovery); code != 0 {
		t.Errorf("node ended with code %d, signal %q", code, by)
	}
}

// Guards against a signal that ends a program, or is lost, while the program reads its
// settings. A named pipe in place of the settings file holds the program there.
func TestSignalWhileTheSettingsAreRead(t *testing.T) {
	services := []layout.Service{{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 1, Slots: 9}}
	zones := []layout.Zone{{Name: "cant-a", Region: "cantabrico", Controls: 1}}
	f := harness.NewFleet(t, layout.Spec{Zones: zones, Services: services, Voters: 1, Seed: 1}, false, 0)
	for name, p := range map[string]*harness.Process{
		"celeryyard-control": f.Controls[0], "celeryyard-node": f.Nodes[0], "celeryyard-upstream": f.Upstreams[0],
	} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
			signalledEarly(t, name, p, s)
		}
	}
}

func signalledEarly(t *testing.T, program string, p *harness.Process, s syscall.Signal) {
	t.Helper()
	text, feed := heldSettings(t, p)
	p.Deliver(s)
	feed(text)
	if s == syscall.SIGHUP {
		harness.Wait(t, recovery, "the settings are read again", func() bool { return p.LogHas(106) || !p.Running() })
		p.Deliver(syscall.SIGTERM)
	}
	if code, by := p.Ended(recovery); code != 0 {
		t.Errorf("%s, sent %v: ended with code %d, signal %q", program, s, code, by)
	}
}

// heldSettings starts a program that waits for its settings. It returns the text of the
// settings and a function that gives the program a text; later reads get the file.
func heldSettings(t *testing.T, p *harness.Process) ([]byte, func(text []byte)) {
	t.Helper()
	path := p.SettingsPath()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path, path+".kept"); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Start()
	fd := -1
	harness.Wait(t, recovery, "the program opens its settings", func() bool {
		// It fails with ENXIO until the other end is open for reading.
		fd, err = syscall.Open(path, syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
		return err == nil
	})
	if err := os.Rename(path+".kept", path); err != nil {
		t.Fatal(err)
	}
	return text, func(text []byte) {
		// A pipe holds 64 KB, more than the settings. The end of the program, which its
		// test reports, breaks the pipe.
		if _, err := syscall.Write(fd, text); err != nil && !errors.Is(err, syscall.EPIPE) {
			t.Error(err)
		}
		_ = syscall.Close(fd)
	}
}
