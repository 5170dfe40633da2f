package harness

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
)

// stopTimeout bounds a planned stop; the processes' own bound is 30 s.
const stopTimeout = 40 * time.Second

// logTail is how much of a process's log is shown when its test fails.
const logTail = 4 << 10

// Process is one program with its settings. It can be started again after it
// has ended.
type Process struct {
	// Name is the instance name; the files of the process carry it.
	Name string
	// Admin is IP:port of its listener for metrics and readiness; may be empty.
	Admin string

	t        testing.TB
	binary   string
	settings string
	args     []string
	logPath  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	code   int
}

// NewProcess writes the settings, a value that is encoded as JSON, and returns
// the process without starting it. It is killed at the end of the test.
func NewProcess(t testing.TB, dir, name, program string, settings any, args ...string) *Process {
	t.Helper()
	p := &Process{
		Name: name, t: t, binary: filepath.Join(Binaries(t), program), args: args,
		settings: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
	}
	p.Rewrite(settings)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.Tail())
		}
	})
	return p
}

// Rewrite replaces the settings file, in one step, with a value that is encoded as JSON.
func (p *Process) Rewrite(settings any) {
	p.t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.settings+".new", text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(p.settings+".new", p.settings); err != nil {
		p.t.Fatal(err)
	}
}

// Start starts the program with its settings and further arguments.
func (p *Process) Start(args ...string) {
	p.t.Helper()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.StartTo(out, args...)
}

// StartTo is Start with another output than the log file.
func (p *Process) StartTo(out *os.File, args ...string) {
	p.t.Helper()
	cmd := exec.Command(p.binary, append(append([]string{"--settings", p.settings}, p.args...), args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	// A test that dies takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

// Kill ends the process at once, as kill -9 does, and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(stopTimeout)
}

// Stop asks for a planned stop and returns the exit code, or -1 when the
// process did not end in time.
func (p *Process) Stop() int {
	p.signal(syscall.SIGTERM)
	if !p.wait(stopTimeout) {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Freeze stops the process from running and waits until it has stopped: the
// signal only asks for it, and a thread on another core may answer a moment
// longer. Thaw lets the process go on.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	Wait(p.t, 10*time.Second, p.Name+" is frozen", func() bool { return !p.Running() || p.frozen() })
}

// frozen reports whether all threads are stopped.
func (p *Process) frozen() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, name := range threads {
		b, readErr := os.ReadFile(name)
		// The state follows the program's name, which stands in parentheses.
		_, state, found := strings.Cut(string(b), ") ")
		if readErr == nil && (!found || state[0] != 'T') {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// Deliver sends a signal and waits until the process has taken it or has ended.
func (p *Process) Deliver(s syscall.Signal) {
	p.t.Helper()
	p.signal(s)
	Wait(p.t, 10*time.Second, fmt.Sprintf("%s takes %v", p.Name, s), func() bool { return !p.Running() || !p.pending(s) })
}

// pending reports whether a signal waits for the process.
func (p *Process) pending(s syscall.Signal) bool {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(b)) {
		if name, mask, _ := strings.Cut(line, ":"); name == "ShdPnd" || name == "SigPnd" {
			set, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			if err != nil || set&(1<<(s-1)) != 0 {
				return true
			}
		}
	}
	return false
}

// Ended waits until the process has ended. It returns its exit code, or -1 with the name
// of the signal that ended it, or -1 and "running" after the limit.
func (p *Process) Ended(limit time.Duration) (int, string) {
	if !p.wait(limit) {
		return -1, "running"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.cmd.ProcessState.Sys().(syscall.WaitStatus); w.Signaled() {
		return -1, w.Signal().String()
	}
	return p.code, ""
}

// SettingsPath returns the path of the settings file.
func (p *Process) SettingsPath() string { return p.settings }

// Hangup tells the process that its settings have changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to this process alone, by its ID.
func (p *Process) signal(s syscall.Signal) {
	if !p.Running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *Process) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Tail returns the end of the log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTail):])
}

// LogHas reports whether the log contains an event.
func (p *Process) LogHas(event int) bool {
	b, err := os.ReadFile(p.logPath)
	return err == nil && bytes.Contains(b, fmt.Appendf(nil, `"event":%d,`, event))
}

// Ready reports whether the process says that it is ready.
func (p *Process) Ready() bool {
	res, err := probe.Get("http://" + p.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// WaitReady waits until all processes are ready.
func WaitReady(t testing.TB, limit time.Duration, list ...*Process) {
	t.Helper()
	for _, p := range list {
		Wait(t, limit, p.Name+" is ready", func() bool {
			if !p.Running() {
				t.Fatalf("%s has ended", p.Name)
			}
			return p.Ready()
		})
	}
}

// Wait calls ok every few milliseconds until it returns true, and fails the
// test after the limit.
func Wait(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// Metric returns the sum of all series of a metric, and false when there is none.
func (p *Process) Metric(name string) (float64, bool) {
	res, err := probe.Get("http://" + p.Admin + "/metrics")
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(res.Body); err != nil {
		return 0, false
	}
	sum, found := 0.0, false
	for line := range strings.Lines(b.String()) {
		series, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if base, _, _ := strings.Cut(series, "{"); !ok || base != name {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			sum, found = sum+v, true
		}
	}
	return sum, found
}

// MemoryMB returns the resident memory of the process in MB, 0 after its end.
func (p *Process) MemoryMB() float64 {
	if !p.Running() {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// CPU returns the processor time used by the process, 0 after its end.
func (p *Process) CPU() time.Duration {
	if !p.Running() {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// The name of the program, in parentheses, may contain spaces; utime and stime
	// are the 12th and 13th fields after it, in ticks of 10 ms.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Files returns the number of open file descriptors, 0 after the end.
func (p *Process) Files() int {
	if !p.Running() {
		return 0
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}
