package kernel

import (
	"bytes"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

var requestSignals = map[string]syscall.Signal{"SIGHUP": syscall.SIGHUP, "SIGINT": syscall.SIGINT, "SIGTERM": syscall.SIGTERM}

// Guards against signals that take effect too early. A stop or reload signal that arrives
// before the plug-ins have started must not be lost or end the process by its default action,
// and must not reload the plug-ins until they have started.
func TestSignalBeforePluginsRunIsDeferred(t *testing.T) {
	for _, stage := range []string{"check", "new", "start"} {
		for name, sig := range requestSignals {
			t.Run(stage+" "+name, func(t *testing.T) {
				s := startStaged(t, stage+",started", nil)
				s.waitForStage(stage)
				s.sendSignal(sig)
				s.resume()
				s.waitForStage("started")
				s.waitForLogLine(`"event":108,`, `"signal":"`+name+`"`, `"phase":"starting"`)
				s.resume()
				s.waitForStage("start returns")
				if slices.Contains(s.seenStages, "reload") {
					t.Fatal("the plug-ins received new settings before they had started")
				}
				if sig == syscall.SIGHUP {
					s.waitForStage("reload")
					s.sendSignal(syscall.SIGTERM)
				}
				s.waitForPlannedStop()
				s.waitForExit()
			})
		}
	}
}

// Guards against a check of the settings (--check-config) that an operator cannot
// interrupt: only a program that runs a kernel defers the signal.
func TestSignalInterruptsCheckOfSettings(t *testing.T) {
	// A child process inherits ignored signals, such as SIGHUP under nohup, but signals that
	// the parent catches have their default action in the child.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(caught)
	for name, sig := range requestSignals {
		t.Run(name, func(t *testing.T) {
			s := startStaged(t, "check", nil, "--check-config")
			s.waitForStage("check")
			_ = s.cmd.Process.Signal(sig)
			select {
			case <-s.exited:
			case <-time.After(stagedTimeout):
				t.Fatal("the program did not end")
			}
			if got := s.cmd.ProcessState.Sys().(syscall.WaitStatus); !got.Signaled() || got.Signal() != sig {
				t.Errorf("the program ended with %v, want %v", s.cmd.ProcessState, sig)
			}
		})
	}
}

// Guards against a missed change of the settings file: the file changes, without a SIGHUP,
// after it was first read but before the plug-ins have started.
func TestSettingsChangeDuringStartIsDetected(t *testing.T) {
	s := startStaged(t, "new", nil)
	s.waitForStage("new")
	if err := os.WriteFile(s.settingsPath, []byte(`{"instance": {"name": "t", "stop_timeout": "21s"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.resume()
	s.waitForStage("started")
	s.waitForLogLine(`"event":106,`)
	s.sendSignal(syscall.SIGTERM)
	s.waitForPlannedStop()
	s.waitForExit()
}

// Guards against a change of the settings file without SIGHUP that takes effect late, is missed because the file has the same
// length as before, or is lost because the file was read while it was being written.
func TestSettingsChangeWithoutSignalIsDetectedSoon(t *testing.T) {
	const bound = 2 * time.Second
	s := startStaged(t, "reload", nil)
	s.waitForStage("started")
	for i, text := range []string{
		`{"instance": {"name": "t", "stop_timeout": "21s"}}`, // the same length
		`{"instance": {"name": "t", "stop_timeout": "22s"}}`,
		`{"instance": {"name": "t",`, // not written to its end
		`{"instance": {"name": "t", "stop_timeout": "23s"}}`,
	} {
		time.Sleep(50 * time.Millisecond)
		if err := os.WriteFile(s.settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if i == 2 {
			s.waitForLogLine(`"event":107,`)
			continue
		}
		began := time.Now()
		s.waitForStage("reload")
		if d := time.Since(began); d > bound {
			t.Errorf("change %d took effect after %v", i, d)
		}
		s.resume()
	}
	s.sendSignal(syscall.SIGTERM)
	s.waitForPlannedStop()
	s.waitForExit()
}

// Guards against a second signal that aborts a planned stop and the calls in flight, and
// against new settings for plug-ins that have stopped.
func TestSecondSignalDoesNotAbortPlannedStop(t *testing.T) {
	for _, stage := range []string{"drain", "stop"} {
		for name, sig := range requestSignals {
			t.Run(stage+" "+name, func(t *testing.T) {
				s := startStaged(t, stage, nil)
				s.waitForLogLine(`"event":100,`)
				s.sendSignal(syscall.SIGTERM)
				s.waitForStage(stage)
				for range 2 {
					s.sendSignal(sig)
				}
				s.waitForLogLine(`"event":108,`, `"signal":"`+name+`"`, `"phase":"stopping"`)
				if sig == syscall.SIGHUP {
					s.waitForLogLine(`"event":109,`)
				}
				s.resume()
				if stage == "drain" {
					s.waitForStage("stop")
				}
				s.waitForExit()
				s.waitForLogLine(`"event":102,`)
				if slices.Contains(s.seenStages, "reload") {
					t.Error("the plug-ins received new settings during the stop")
				}
			})
		}
	}
}

// Guards against signals that the program does not use but that end it in some phase.
func TestUnusedSignalsAreIgnored(t *testing.T) {
	ignored := []syscall.Signal{
		syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGIO, syscall.SIGPWR,
		syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGWINCH, syscall.SIGURG, syscall.SIGCHLD, syscall.SIGCONT, syscall.SIGPIPE,
	}
	s := startStaged(t, "check,new,start,started,drain,stop", nil)
	for _, stage := range []string{"check", "new", "start", "started", "running", "drain", "stop"} {
		if stage == "running" {
			s.waitForLogLine(`"event":100,`)
		} else {
			s.waitForStage(stage)
		}
		for _, sig := range ignored {
			s.sendSignal(sig)
		}
		if stage == "running" {
			s.sendSignal(syscall.SIGTERM)
			continue
		}
		s.resume()
	}
	s.waitForExit()
}

// Guards against losing the goroutine stacks of a process that hangs: SIGQUIT keeps its
// usual effect, also while the process stops.
func TestSIGQUITWritesGoroutineStacks(t *testing.T) {
	for _, stage := range []string{"check", "start", "stop"} {
		t.Run(stage, func(t *testing.T) {
			s := startStaged(t, stage, nil)
			if stage == "stop" {
				s.waitForLogLine(`"event":100,`)
				s.sendSignal(syscall.SIGTERM)
			}
			s.waitForStage(stage)
			_ = s.cmd.Process.Signal(syscall.SIGQUIT)
			<-s.exited
			if s.cmd.ProcessState.ExitCode() != 2 || !strings.Contains(s.output(), "goroutine ") {
				t.Errorf("program ended with %v", s.cmd.ProcessState)
			}
		})
	}
}

// Guards against SIGPIPE, which would end the process and its calls in flight. The reader of
// the log closes the pipe in different phases of the process.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	for _, stage := range []string{"check", "running", "drain"} {
		t.Run(stage, func(t *testing.T) {
			r, w := pipe(t)
			s := startStaged(t, stage, w)
			_ = w.Close()
			switch stage {
			case "running":
				s.waitForStage("started")
			case "drain":
				s.waitForStage("started")
				s.sendSignal(syscall.SIGTERM)
				s.waitForStage(stage)
			default:
				s.waitForStage(stage)
			}
			_ = r.Close()
			if stage != "running" {
				s.resume()
			}
			if stage != "drain" {
				s.sendSignal(syscall.SIGHUP) // the reload writes a log line
				s.waitForStage("reload")
				// Longer than the flush delay of the log writer.
				time.Sleep(300 * time.Millisecond)
				s.sendSignal(syscall.SIGTERM)
				s.waitForStage("drain")
			}
			s.waitForStage("stop")
			s.waitForExit()
		})
	}
}

// Guards against a stopped process that does not exit, and so is not restarted, because
// nobody reads its log.
func TestBlockedOutputDoesNotPreventExit(t *testing.T) {
	_, w := pipe(t)
	fillPipe(t, w)
	s := startStaged(t, "", w)
	s.waitForStage("started")
	s.sendSignal(syscall.SIGTERM)
	s.waitForPlannedStop()
	s.waitForExit()
}

// Guards against a failed process that does not exit, and so is not restarted, because
// nobody reads its error output.
func TestBlockedErrorOutputDoesNotPreventExit(t *testing.T) {
	_, w := pipe(t)
	fillPipe(t, w)
	s := startStaged(t, "fail", w)
	s.waitForStage("started")
	select {
	case <-s.exited:
	case <-time.After(stagedTimeout):
		t.Fatal("the program did not end")
	}
	if code := s.cmd.ProcessState.ExitCode(); code != ExitFailure {
		t.Errorf("exit code %d, want %d", code, ExitFailure)
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	line := bytes.Repeat([]byte("x"), 4096)
	for {
		if _, err := w.Write(line); err != nil {
			break
		}
	}
	// Fd sets the descriptor, which the child inherits, to blocking mode.
	w.Fd()
}
