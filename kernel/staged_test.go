package kernel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stagesEnv is an environment variable that makes the test binary run Main with the
// plug-in "staged" instead of the tests. It lists the stages in which the program blocks
// until the test resumes it, such as "new,stop".
const stagesEnv = "CELERYYARD_TEST_STAGES"

// stagedTimeout bounds each wait for a staged program. A correct program never reaches it.
const stagedTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	if stages, ok := os.LookupEnv(stagesEnv); ok {
		os.Exit(stagedMain(stages))
	}
	os.Exit(m.Run())
}

// stagedPlugin reports each stage of its process on file descriptor 3. In the stages that
// the test has chosen, it blocks until it can read a byte from file descriptor 4.
type stagedPlugin struct {
	blockingStages []string
	reports        *os.File
	resumes        *os.File
}

func (s *stagedPlugin) reportStage(stage string) {
	fmt.Fprintln(s.reports, stage)
	if slices.Contains(s.blockingStages, stage) {
		_, _ = s.resumes.Read(make([]byte, 1))
	}
}

func (s *stagedPlugin) Start(context.Context) error {
	s.reportStage("start")
	s.reportStage("started")
	if slices.Contains(s.blockingStages, "fail") {
		return errors.New("disk is broken")
	}
	s.reportStage("start returns")
	return nil
}

func (s *stagedPlugin) Stop(context.Context) error {
	s.reportStage("stop")
	return nil
}

func (s *stagedPlugin) Drain() { s.reportStage("drain") }

func (s *stagedPlugin) Reload(any) { s.reportStage("reload") }

func stagedMain(stages string) int {
	s := &stagedPlugin{blockingStages: strings.Split(stages, ","), reports: os.NewFile(3, "reports"), resumes: os.NewFile(4, "resume")}
	Register(Registration{
		Name:     "staged",
		Settings: func() any { return &struct{}{} },
		CheckFiles: func(*Instance, any) error {
			s.reportStage("check")
			return nil
		},
		New: func(*Context) (Plugin, error) {
			s.reportStage("new")
			return s, nil
		},
	})
	return Main("staged", []string{"staged"}, os.Args[1:], os.Stdout, os.Stderr)
}

// stagedProgram is a child process that runs the plug-in "staged".
type stagedProgram struct {
	t            *testing.T
	cmd          *exec.Cmd
	reports      *bufio.Reader
	resumes      *os.File
	settingsPath string
	// seenStages lists the stages read from reports so far.
	seenStages []string
	exited     chan struct{}

	// mu guards buffer. No other lock is acquired while it is held.
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer for the output of the program.
func (s *stagedProgram) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *stagedProgram) output() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// startStaged starts the program, which blocks in the given stages, with additional
// arguments. The output of the program goes to stdout; if stdout is nil, it is collected for
// waitForLogLine.
func startStaged(t *testing.T, stages string, stdout *os.File, args ...string) *stagedProgram {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"instance": {"name": "t", "stop_timeout": "20s"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	reports, childReports := pipe(t)
	childResumes, resumes := pipe(t)
	s := &stagedProgram{t: t, reports: bufio.NewReader(reports), resumes: resumes, settingsPath: path, exited: make(chan struct{})}
	s.cmd = exec.Command(os.Args[0], append([]string{"--settings", path}, args...)...)
	s.cmd.Env = append(os.Environ(), stagesEnv+"="+stages)
	s.cmd.ExtraFiles = []*os.File{childReports, childResumes}
	s.cmd.Stdout, s.cmd.Stderr = s, s
	if stdout != nil {
		s.cmd.Stdout, s.cmd.Stderr = stdout, stdout
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, _ = childReports.Close(), childResumes.Close()
	go func() {
		_ = s.cmd.Wait()
		close(s.exited)
	}()
	// Kill a program that hangs, because the test blocks while it reads its reports.
	killTimer := time.AfterFunc(3*stagedTimeout, func() { _ = s.cmd.Process.Kill() })
	t.Cleanup(func() {
		killTimer.Stop()
		_ = s.cmd.Process.Kill()
		<-s.exited
		if t.Failed() {
			t.Logf("stages %v, output:\n%s", s.seenStages, s.output())
		}
	})
	return s
}

func pipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	return r, w
}

// waitForStage reads reports until the program reaches the stage, and fails the test if
// the program ends first.
func (s *stagedProgram) waitForStage(stage string) {
	s.t.Helper()
	for {
		line, err := s.reports.ReadString('\n')
		if err != nil {
			<-s.exited
			s.t.Fatalf("program ended before it reached stage %q: %v", stage, s.cmd.ProcessState)
		}
		line = strings.TrimSpace(line)
		s.seenStages = append(s.seenStages, line)
		if line == stage {
			return
		}
	}
}

// resume makes the program continue after the stage in which it blocks.
func (s *stagedProgram) resume() { _, _ = s.resumes.Write([]byte{1}) }

// sendSignal sends a signal and waits until it has been delivered or the program has ended.
func (s *stagedProgram) sendSignal(sig syscall.Signal) {
	s.t.Helper()
	_ = s.cmd.Process.Signal(sig)
	s.waitUntil(fmt.Sprintf("delivery of %v", sig), func() bool { return !isSignalPending(s.cmd.Process.Pid, sig) })
}

// isSignalPending reports whether a process is alive and the signal is pending for it.
func isSignalPending(pid int, sig syscall.Signal) bool {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "ShdPnd" && name != "SigPnd" {
			continue
		}
		set, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err != nil || set&(1<<(sig-1)) != 0 {
			return true
		}
	}
	return false
}

// waitUntil polls condition until it returns true, and fails the test if the program ends first.
func (s *stagedProgram) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(stagedTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		select {
		case <-s.exited:
			if !condition() {
				s.t.Fatalf("program ended (%v) before: %s", s.cmd.ProcessState, what)
			}
			return
		default:
		}
		if condition() {
			return
		}
	}
	s.t.Fatalf("not within %v: %s", stagedTimeout, what)
}

// waitForLogLine waits until a single log line contains all texts.
func (s *stagedProgram) waitForLogLine(texts ...string) {
	s.t.Helper()
	s.waitUntil(fmt.Sprintf("log line with %v", texts), func() bool {
		for line := range strings.Lines(s.output()) {
			if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
				return true
			}
		}
		return false
	})
}

// waitForExit waits until the program has exited and checks that it succeeded.
func (s *stagedProgram) waitForExit() {
	s.t.Helper()
	select {
	case <-s.exited:
	case <-time.After(stagedTimeout):
		s.t.Fatal("the program did not end")
	}
	if !s.cmd.ProcessState.Success() {
		s.t.Fatalf("program ended with %v", s.cmd.ProcessState)
	}
}

// waitForPlannedStop reads the reports of a planned stop up to its last stage.
func (s *stagedProgram) waitForPlannedStop() {
	s.t.Helper()
	s.waitForStage("drain")
	s.waitForStage("stop")
}
