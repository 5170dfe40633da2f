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

// stopTimeout bounds the wait for a process to exit. It exceeds the 30 s to which the processes
// themselves limit a planned stop.
const stopTimeout = 40 * time.Second

// logTailBytes is the maximum number of bytes that a failed test prints from the end of a log.
const logTailBytes = 4 << 10

// Process is a program with its settings file. It can be started again after it has exited.
type Process struct {
	// Name is the instance name, which is also the base name of the process's files.
	Name string
	// AdminAddress is the IP:port of the listener for metrics and readiness; may be empty.
	AdminAddress string

	t            testing.TB
	binary       string
	settingsPath string
	args         []string
	logPath      string

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited; nil before the first start.
	exited   chan struct{}
	exitCode int
}

// NewProcess writes the settings, encoded as JSON, and returns the process without starting it. Each
// start passes args to the program. The process is killed at the end of the test.
func NewProcess(t testing.TB, dir, name, program string, settings any, args ...string) *Process {
	t.Helper()
	p := &Process{
		Name: name, t: t, binary: filepath.Join(ProgramDir(t), program), args: args,
		settingsPath: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
	}
	p.RewriteSettings(settings)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s, whole in %s:\n%s", name, p.keepLog(), p.LogTail())
		}
	})
	return p
}

// failedLogsVariable names the environment variable with the folder for the logs of failed tests. The
// default is a folder of the system's folder for temporary files.
const failedLogsVariable = "CELERYYARD_FAILED_LOGS"

// keepLog copies the whole log to a folder that outlives the test and returns the path of the copy.
func (p *Process) keepLog() string {
	root := os.Getenv(failedLogsVariable)
	if root == "" {
		root = filepath.Join(os.TempDir(), "celeryyard-failed-logs")
	}
	dir := filepath.Join(root, fmt.Sprintf("%s-%d", strings.ReplaceAll(p.t.Name(), "/", "-"), os.Getpid()))
	b, err := os.ReadFile(p.logPath)
	if err == nil {
		err = os.MkdirAll(dir, 0o750)
	}
	path := filepath.Join(dir, p.Name+".log")
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		return err.Error()
	}
	return path
}

// RewriteSettings atomically replaces the settings file with the given settings, encoded as JSON.
func (p *Process) RewriteSettings(settings any) {
	p.t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.settingsPath+".new", text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(p.settingsPath+".new", p.settingsPath); err != nil {
		p.t.Fatal(err)
	}
}

// Start starts the program with its settings and the given arguments in addition to those of
// NewProcess.
func (p *Process) Start(args ...string) {
	p.t.Helper()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.StartWithOutput(out, args...)
}

// StartWithOutput is like Start, but the program writes its output to out and not to the log file.
func (p *Process) StartWithOutput(out *os.File, args ...string) {
	p.t.Helper()
	cmd := exec.Command(p.binary, append(append([]string{"--settings", p.settingsPath}, p.args...), args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the test program dies.
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
		p.exitCode = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.waitForExit(stopTimeout)
}

// Stop requests a planned stop with SIGTERM and waits until the process has exited. It returns the
// exit code, or -1 if the process does not exit within stopTimeout.
func (p *Process) Stop() int {
	p.signal(syscall.SIGTERM)
	if !p.waitForExit(stopTimeout) {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode
}

// Freeze suspends the process with SIGSTOP until Thaw is called. It waits until all threads have
// stopped, because a thread on another core may continue for a short time after the signal was sent.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	WaitUntil(p.t, 10*time.Second, p.Name+" is frozen", func() bool { return !p.IsRunning() || p.isFrozen() })
}

// isFrozen reports whether all threads of the process are stopped by a signal.
func (p *Process) isFrozen() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, name := range threads {
		b, readErr := os.ReadFile(name)
		// The state follows the program's name, which is in parentheses.
		_, state, found := strings.Cut(string(b), ") ")
		if readErr == nil && (!found || state[0] != 'T') {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// SignalAndWait sends a signal and waits until it is no longer pending or the process has exited.
func (p *Process) SignalAndWait(s syscall.Signal) {
	p.t.Helper()
	p.signal(s)
	WaitUntil(p.t, 10*time.Second, fmt.Sprintf("%s has received %v", p.Name, s), func() bool { return !p.IsRunning() || !p.isPending(s) })
}

// isPending reports whether a signal to the process is pending.
func (p *Process) isPending(s syscall.Signal) bool {
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

// WaitForExit waits until the process has exited and returns its exit code. If a signal killed the
// process, it returns -1 and the name of the signal. After the timeout it returns -1 and "running".
func (p *Process) WaitForExit(timeout time.Duration) (int, string) {
	if !p.waitForExit(timeout) {
		return -1, "running"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.cmd.ProcessState.Sys().(syscall.WaitStatus); w.Signaled() {
		return -1, w.Signal().String()
	}
	return p.exitCode, ""
}

// SettingsPath returns the path of the settings file.
func (p *Process) SettingsPath() string { return p.settingsPath }

// ReloadSettings sends SIGHUP, on which the process reloads its settings.
func (p *Process) ReloadSettings() { p.signal(syscall.SIGHUP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// IsRunning reports whether the process has been started and has not exited.
func (p *Process) IsRunning() bool {
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

// signal sends a signal to this process by its ID, if it is running.
func (p *Process) signal(s syscall.Signal) {
	if !p.IsRunning() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// waitForExit waits until the process has exited. It returns false after the timeout.
func (p *Process) waitForExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// LogTail returns the last logTailBytes bytes of the log file.
func (p *Process) LogTail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailBytes):])
}

// HasLoggedEvent reports whether the log contains an event with the given number.
func (p *Process) HasLoggedEvent(event int) bool {
	b, err := os.ReadFile(p.logPath)
	return err == nil && bytes.Contains(b, fmt.Appendf(nil, `"event":%d,`, event))
}

// IsReady reports whether a request for /readyz succeeds.
func (p *Process) IsReady() bool {
	res, err := probeClient.Get("http://" + p.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// WaitReady waits until all processes are ready.
func WaitReady(t testing.TB, timeout time.Duration, processes ...*Process) {
	t.Helper()
	for _, p := range processes {
		WaitUntil(t, timeout, p.Name+" is ready", func() bool {
			if !p.IsRunning() {
				t.Fatalf("%s has exited", p.Name)
			}
			return p.IsReady()
		})
	}
}

// WaitUntil polls ok every few milliseconds until ok returns true. It fails the test after the
// timeout, with a message that names the condition.
func WaitUntil(t testing.TB, timeout time.Duration, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", timeout, condition)
}

// Metric returns the sum of all series of a metric. It returns false if there are none or the process
// does not answer.
func (p *Process) Metric(name string) (float64, bool) {
	res, err := probeClient.Get("http://" + p.AdminAddress + "/metrics")
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

// MemoryMB returns the resident memory of the process in MB, or 0 if it is not running.
func (p *Process) MemoryMB() float64 {
	if !p.IsRunning() {
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

// CPUTime returns the processor time used by the process, or 0 if it is not running.
func (p *Process) CPUTime() time.Duration {
	if !p.IsRunning() {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// Skip the program's name, which is in parentheses and may contain spaces. The 12th field after it
	// is utime and the 13th is stime, in ticks of 10 ms.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// OpenFiles returns the number of open file descriptors, or 0 if the process is not running.
func (p *Process) OpenFiles() int {
	if !p.IsRunning() {
		return 0
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}
