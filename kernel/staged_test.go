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

// stagesEnv makes the test program run Main with the plug-in "staged" instead of the
// tests. It names the stages that wait for the test, such as "new,stop".
const stagesEnv = "CELERYYARD_TEST_STAGES"

// stagedLimit bounds each wait for a staged program. It is never reached by one that
// works.
const stagedLimit = 30 * time.Second

func TestMain(m *testing.M) {
	if stages, ok := os.LookupEnv(stagesEnv); ok {
		os.Exit(stagedMain(stages))
	}
	os.Exit(m.Run())
}

// stagedPlugin reports each stage of its process on descriptor 3 and waits on descriptor
// 4 in the stages that its test has chosen.
type stagedPlugin struct {
	waits   []string
	reports *os.File
	resume  *os.File
}

func (s *stagedPlugin) at(stage string) {
	fmt.Fprintln(s.reports, stage)
	if slices.Contains(s.waits, stage) {
		_, _ = s.resume.Read(make([]byte, 1))
	}
}

func (s *stagedPlugin) Start(context.Context) error {
	s.at("start")
	s.at("started")
	if slices.Contains(s.waits, "fail") {
		return errors.New("disk is broken")
	}
	s.at("start returns")
	return nil
}

func (s *stagedPlugin) Stop(context.Context) error {
	s.at("stop")
	return nil
}

func (s *stagedPlugin) Drain() { s.at("drain") }

func (s *stagedPlugin) Reload(any) { s.at("reload") }

func stagedMain(stages string) int {
	s := &stagedPlugin{waits: strings.Split(stages, ","), reports: os.NewFile(3, "reports"), resume: os.NewFile(4, "resume")}
	Register(Registration{
		Name:     "staged",
		Settings: func() any { return &struct{}{} },
		Check: func(*Instance, any) error {
			s.at("check")
			return nil
		},
		New: func(*Context) (Plugin, error) {
			s.at("new")
			return s, nil
		},
	})
	return Main("staged", []string{"staged"}, os.Args[1:], os.Stdout, os.Stderr)
}

// staged is a running program with the plug-in "staged".
type staged struct {
	t       *testing.T
	cmd     *exec.Cmd
	reports *bufio.Reader
	resumes *os.File
	// settings is the path of the settings file.
	settings string
	// seen lists the stages reported so far.
	seen   []string
	exited chan struct{}

	// mu is a leaf lock.
	mu  sync.Mutex
	log bytes.Buffer
}

// Write implements io.Writer for the output of the program.
func (s *staged) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(p)
}

func (s *staged) output() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

// startStaged starts the program with further arguments and its log on stdout; nil
// collects the log for logged.
func startStaged(t *testing.T, stages string, stdout *os.File, args ...string) *staged {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(`{"instance": {"name": "t", "stop_timeout": "20s"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	reports, reportsEnd := pipe(t)
	resumesEnd, resumes := pipe(t)
	s := &staged{t: t, reports: bufio.NewReader(reports), resumes: resumes, settings: file, exited: make(chan struct{})}
	s.cmd = exec.Command(os.Args[0], append([]string{"--settings", file}, args...)...)
	s.cmd.Env = append(os.Environ(), stagesEnv+"="+stages)
	s.cmd.ExtraFiles = []*os.File{reportsEnd, resumesEnd}
	s.cmd.Stdout, s.cmd.Stderr = s, s
	if stdout != nil {
		s.cmd.Stdout, s.cmd.Stderr = stdout, stdout
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, _ = reportsEnd.Close(), resumesEnd.Close()
	go func() {
		_ = s.cmd.Wait()
		close(s.exited)
	}()
	// A program that hangs must not outlast the test that waits for its reports.
	limit := time.AfterFunc(3*stagedLimit, func() { _ = s.cmd.Process.Kill() })
	t.Cleanup(func() {
		limit.Stop()
		_ = s.cmd.Process.Kill()
		<-s.exited
		if t.Failed() {
			t.Logf("stages %v, output:\n%s", s.seen, s.output())
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

// reach reads reports until the stage comes, and fails the test when the program ends
// before.
func (s *staged) reach(stage string) {
	s.t.Helper()
	for {
		line, err := s.reports.ReadString('\n')
		if err != nil {
			<-s.exited
			s.t.Fatalf("program ended before the stage %q: %v", stage, s.cmd.ProcessState)
		}
		line = strings.TrimSpace(line)
		s.seen = append(s.seen, line)
		if line == stage {
			return
		}
	}
}

// resume lets the program leave the stage in which it waits.
func (s *staged) resume() { _, _ = s.resumes.Write([]byte{1}) }

// deliver sends a signal and waits until the program has taken it or has ended.
func (s *staged) deliver(sig syscall.Signal) {
	s.t.Helper()
	_ = s.cmd.Process.Signal(sig)
	s.await(fmt.Sprintf("program takes %v", sig), func() bool { return !pending(s.cmd.Process.Pid, sig) })
}

// pending reports whether a signal waits for a process that lives.
func pending(pid int, sig syscall.Signal) bool {
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

// await calls ok every few milliseconds until it is true or the program has ended.
func (s *staged) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(stagedLimit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		select {
		case <-s.exited:
			if !ok() {
				s.t.Fatalf("program ended (%v) before: %s", s.cmd.ProcessState, what)
			}
			return
		default:
		}
		if ok() {
			return
		}
	}
	s.t.Fatalf("not within %v: %s", stagedLimit, what)
}

// logged waits until one line of the log contains all texts.
func (s *staged) logged(texts ...string) {
	s.t.Helper()
	s.await(fmt.Sprintf("log line with %v", texts), func() bool {
		for line := range strings.Lines(s.output()) {
			if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
				return true
			}
		}
		return false
	})
}

// ends waits for the end of the program and checks that it has stopped as planned.
func (s *staged) ends() {
	s.t.Helper()
	select {
	case <-s.exited:
	case <-time.After(stagedLimit):
		s.t.Fatal("the program did not end")
	}
	if !s.cmd.ProcessState.Success() {
		s.t.Fatalf("program ended with %v", s.cmd.ProcessState)
	}
}

// drains reads the reports of a planned stop up to its last stage.
func (s *staged) drains() {
	s.t.Helper()
	s.reach("drain")
	s.reach("stop")
}
