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

// startSignalFleet starts the smallest fleet in which a call can pass through two nodes. It has two
// nodes and two services; each node is beside the only endpoint of one service. After a signal to
// stop, a node continues to serve calls for drainTime.
func startSignalFleet(t *testing.T, drainTime string) *harness.Fleet {
	t.Helper()
	services := []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 1, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 1, Slots: 9},
	}
	zones := []layout.Zone{{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "gorenjska-a", Region: "gorenjska"}}
	f := harness.NewFleet(t, layout.Spec{Zones: zones, Services: services, Voters: 1, Seed: 1}, false, 0)
	for i, p := range f.Plan.Nodes {
		p.Settings["instance"].(map[string]any)["drain_time"] = drainTime
		f.Nodes[i].RewriteSettings(p.Settings)
	}
	f.Start()
	f.Configure()
	f.WaitServing()
	return f
}

// startSlowCall sends a call through the node with the given index. The call takes delay at its
// endpoint. startSlowCall returns when the endpoint has started to execute the call. The channel
// receives nil if the answer is complete, or else an error.
func startSlowCall(t *testing.T, f *harness.Fleet, nodeIndex int, delay string) <-chan error {
	t.Helper()
	service := f.Plan.Spec.Services[1]
	before := sumCallsInProgress(f)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Plan.Nodes[nodeIndex].CallersAddress+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = service.Host()
	req.Header.Set("X-Call-Fault", "delay="+delay)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
	callResult := make(chan error, 1)
	go func() {
		res, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil && res.StatusCode != http.StatusOK {
				err = errors.New(res.Status)
			}
		}
		callResult <- err
	}()
	harness.WaitUntil(t, recoveryTimeout, "the endpoint executes the call", func() bool { return sumCallsInProgress(f) > before })
	return callResult
}

// sumCallsInProgress returns the number of calls that are in progress at all endpoints.
func sumCallsInProgress(f *harness.Fleet) float64 {
	sum := 0.0
	for _, u := range f.Upstreams {
		n, _ := u.Metric("celeryyard_standin_calls")
		sum += n
	}
	return sum
}

// Guards against a reload of the settings that interrupts the calls in flight when it is requested
// during a node's planned stop (incident inc1: SIGTERM at t, SIGHUP at t+0.4 s).
func TestHangupAfterTermKeepsTheCallInFlight(t *testing.T) {
	f := startSignalFleet(t, "1s")
	callResult := startSlowCall(t, f, 0, "2s")
	code := make(chan int, 1)
	began := time.Now()
	go func() { code <- f.Nodes[0].Stop() }()
	time.Sleep(400 * time.Millisecond)
	hangup := time.Now()
	f.Nodes[0].ReloadSettings()
	if err := <-callResult; err != nil {
		t.Errorf("call in flight: %v, %v after the SIGHUP", err, time.Since(hangup).Round(time.Millisecond))
	}
	if c := <-code; c != 0 {
		t.Errorf("exit code %d %v after the SIGTERM", c, time.Since(began).Round(time.Millisecond))
	}
}

// Guards against a second signal that interrupts the calls in flight when it arrives during a node's
// planned stop.
func TestSecondSignalKeepsTheCallInFlight(t *testing.T) {
	f := startSignalFleet(t, "1s")
	callResult := startSlowCall(t, f, 0, "2s")
	node := f.Nodes[0]
	node.SignalAndWait(syscall.SIGTERM)
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		node.SignalAndWait(s)
	}
	if err := <-callResult; err != nil {
		t.Errorf("call in flight: %v", err)
	}
	if code, signal := node.WaitForExit(recoveryTimeout); code != 0 {
		t.Errorf("node ended with code %d, signal %q", code, signal)
	}
}

// Guards against a process that SIGPIPE ends, with calls in flight, when it writes a log line after
// the reader of its log has closed the pipe.
func TestLostLogReaderKeepsTheCallInFlight(t *testing.T) {
	f := startSignalFleet(t, "1s")
	node := f.Nodes[0]
	if code := node.Stop(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	node.StartWithOutput(w)
	_ = w.Close()
	harness.WaitReady(t, recoveryTimeout, node)
	f.WaitServing()
	callResult := startSlowCall(t, f, 0, "3s")
	_ = r.Close()
	node.SignalAndWait(syscall.SIGHUP) // the reload writes a log line
	harness.WaitUntil(t, recoveryTimeout, "the dropped log lines are counted", func() bool {
		n, _ := node.Metric("celeryyard_log_dropped_lines_total")
		return n > 0 || !node.IsRunning()
	})
	node.SignalAndWait(syscall.SIGTERM)
	if err := <-callResult; err != nil {
		t.Errorf("call in flight: %v", err)
	}
	if code, signal := node.WaitForExit(recoveryTimeout); code != 0 {
		t.Errorf("node ended with code %d, signal %q", code, signal)
	}
}

// Guards against a signal that arrives while a program reads its settings, and that ends the program
// at once or is lost. A named pipe in place of the settings file blocks the program while it reads.
func TestSignalWhileTheSettingsAreRead(t *testing.T) {
	services := []layout.Service{{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 1, Slots: 9}}
	zones := []layout.Zone{{Name: "cant-a", Region: "cantabrico", Controls: 1}}
	f := harness.NewFleet(t, layout.Spec{Zones: zones, Services: services, Voters: 1, Seed: 1}, false, 0)
	for name, p := range map[string]*harness.Process{
		"celeryyard-control": f.Controls[0], "celeryyard-node": f.Nodes[0], "celeryyard-upstream": f.Upstreams[0],
	} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
			testEarlySignal(t, name, p, s)
		}
	}
}

// testEarlySignal sends a signal to a program that is reading its settings, and checks that the
// program handles it after that.
func testEarlySignal(t *testing.T, program string, p *harness.Process, s syscall.Signal) {
	t.Helper()
	content, writeSettings := startWithBlockedSettings(t, p)
	p.SignalAndWait(s)
	writeSettings(content)
	if s == syscall.SIGHUP {
		harness.WaitUntil(t, recoveryTimeout, "the settings are read again", func() bool { return p.HasLoggedEvent(106) || !p.IsRunning() })
		p.SignalAndWait(syscall.SIGTERM)
	}
	if code, signal := p.WaitForExit(recoveryTimeout); code != 0 {
		t.Errorf("%s, sent %v: ended with code %d, signal %q", program, s, code, signal)
	}
}

// startWithBlockedSettings starts a program that blocks while it reads its settings from a named
// pipe. It returns the content of the settings file, and a function that writes content to the pipe.
// When the program reads its settings again, it reads the file.
func startWithBlockedSettings(t *testing.T, p *harness.Process) ([]byte, func(content []byte)) {
	t.Helper()
	path := p.SettingsPath()
	content, err := os.ReadFile(path)
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
	harness.WaitUntil(t, recoveryTimeout, "the program opens its settings", func() bool {
		// Open fails with ENXIO until the program has opened the pipe for reading.
		fd, err = syscall.Open(path, syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
		return err == nil
	})
	if err := os.Rename(path+".kept", path); err != nil {
		t.Fatal(err)
	}
	return content, func(content []byte) {
		// A pipe holds 64 KB, more than the settings, so that the write doesn't block. EPIPE means
		// that the program has exited, which the test reports.
		if _, err := syscall.Write(fd, content); err != nil && !errors.Is(err, syscall.EPIPE) {
			t.Error(err)
		}
		_ = syscall.Close(fd)
	}
}
