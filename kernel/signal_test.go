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

var requests = map[string]syscall.Signal{"SIGHUP": syscall.SIGHUP, "SIGINT": syscall.SIGINT, "SIGTERM": syscall.SIGTERM}

// Guards against a stop or a reload that ends the process by the signal's default action,
// or is lost, because it comes before the plug-ins run; and against a reload of plug-ins
// that have not started.
func TestSignalBeforeThePluginsRun(t *testing.T) {
	for _, stage := range []string{"check", "new", "start"} {
		for name, sig := range requests {
			t.Run(stage+" "+name, func(t *testing.T) {
				s := startStaged(t, stage+",started", nil)
				s.reach(stage)
				s.deliver(sig)
				s.resume()
				s.reach("started")
				s.logged(`"event":108,`, `"signal":"`+name+`"`, `"phase":"starting"`)
				s.resume()
				s.reach("start returns")
				if slices.Contains(s.seen, "reload") {
					t.Fatal("the plug-ins were given new settings before they had started")
				}
				if sig == syscall.SIGHUP {
					s.reach("reload")
					s.deliver(syscall.SIGTERM)
				}
				s.drains()
				s.ends()
			})
		}
	}
}

// Guards against a check of the settings that an operator cannot interrupt: only a
// running program keeps the request for later.
func TestSignalEndsACheckOfTheSettings(t *testing.T) {
	// A program inherits ignored signals, such as SIGHUP under nohup; what this process
	// catches has its default action in the program.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(caught)
	for name, sig := range requests {
		t.Run(name, func(t *testing.T) {
			s := startStaged(t, "check", nil, "--check-config")
			s.reach("check")
			_ = s.cmd.Process.Signal(sig)
			select {
			case <-s.exited:
			case <-time.After(stagedLimit):
				t.Fatal("the program did not end")
			}
			if got := s.cmd.ProcessState.Sys().(syscall.WaitStatus); !got.Signaled() || got.Signal() != sig {
				t.Errorf("the program ended with %v, want %v", s.cmd.ProcessState, sig)
			}
		})
	}
}

// Guards against a change of the settings file that is never noticed, because it comes
// without a signal between the first reading of the file and the start of the plug-ins.
func TestChangeDuringTheStartIsNoticed(t *testing.T) {
	s := startStaged(t, "new", nil)
	s.reach("new")
	if err := os.WriteFile(s.settings, []byte(`{"instance": {"name": "t", "stop_timeout": "21s"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.resume()
	s.reach("started")
	s.logged(`"event":106,`)
	s.deliver(syscall.SIGTERM)
	s.drains()
	s.ends()
}

// Guards against a planned stop that a second signal cuts, with the calls in flight, and
// against new settings for plug-ins that have stopped.
func TestSignalDuringThePlannedStop(t *testing.T) {
	for _, stage := range []string{"drain", "stop"} {
		for name, sig := range requests {
			t.Run(stage+" "+name, func(t *testing.T) {
				s := startStaged(t, stage, nil)
				s.logged(`"event":100,`)
				s.deliver(syscall.SIGTERM)
				s.reach(stage)
				for range 2 {
					s.deliver(sig)
				}
				s.logged(`"event":108,`, `"signal":"`+name+`"`, `"phase":"stopping"`)
				if sig == syscall.SIGHUP {
					s.logged(`"event":109,`)
				}
				s.resume()
				if stage == "drain" {
					s.reach("stop")
				}
				s.ends()
				s.logged(`"event":102,`)
				if slices.Contains(s.seen, "reload") {
					t.Error("the plug-ins were given new settings during the stop")
				}
			})
		}
	}
}

// Guards against signals that mean nothing to the program but end it in some phase.
func TestSignalsWithoutMeaningAreIgnored(t *testing.T) {
	ignored := []syscall.Signal{
		syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGIO, syscall.SIGPWR,
		syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGWINCH, syscall.SIGURG, syscall.SIGCHLD, syscall.SIGCONT, syscall.SIGPIPE,
	}
	s := startStaged(t, "check,new,start,started,drain,stop", nil)
	for _, stage := range []string{"check", "new", "start", "started", "running", "drain", "stop"} {
		if stage == "running" {
			s.logged(`"event":100,`)
		} else {
			s.reach(stage)
		}
		for _, sig := range ignored {
			s.deliver(sig)
		}
		if stage == "running" {
			s.deliver(syscall.SIGTERM)
			continue
		}
		s.resume()
	}
	s.ends()
}

// Guards against the loss of the stacks of a process that hangs: SIGQUIT keeps its usual
// meaning, also while the process stops.
func TestQuitWritesTheStacks(t *testing.T) {
	for _, stage := range []string{"check", "start", "stop"} {
		t.Run(stage, func(t *testing.T) {
			s := startStaged(t, stage, nil)
			if stage == "stop" {
				s.logged(`"event":100,`)
				s.deliver(syscall.SIGTERM)
			}
			s.reach(stage)
			_ = s.cmd.Process.Signal(syscall.SIGQUIT)
			<-s.exited
			if s.cmd.ProcessState.ExitCode() != 2 || !strings.Contains(s.output(), "goroutine ") {
				t.Errorf("program ended with %v", s.cmd.ProcessState)
			}
		})
	}
}

// Guards against a process that ends by SIGPIPE, with its calls in flight, because the
// reader of its log has gone, in any phase.
func TestOutputThatIsGoneEndsNoProcess(t *testing.T) {
	for _, stage := range []string{"check", "running", "drain"} {
		t.Run(stage, func(t *testing.T) {
			r, w := pipe(t)
			s := startStaged(t, stage, w)
			_ = w.Close()
			switch stage {
			case "running":
				s.reach("started")
			case "drain":
				s.reach("started")
				s.deliver(syscall.SIGTERM)
				s.reach(stage)
			default:
				s.reach(stage)
			}
			_ = r.Close()
			if stage != "running" {
				s.resume()
			}
			if stage != "drain" {
				s.deliver(syscall.SIGHUP) // the reload writes a line
				s.reach("reload")
				// Longer than the lines wait for one another before they are written.
				time.Sleep(300 * time.Millisecond)
				s.deliver(syscall.SIGTERM)
				s.reach("drain")
			}
			s.reach("stop")
			s.ends()
		})
	}
}

// Guards against a stopped process that does not end, and so is not started again,
// because nobody reads its log.
func TestOutputThatIsNotReadDelaysTheEndBriefly(t *testing.T) {
	_, w := pipe(t)
	fill(t, w)
	s := startStaged(t, "", w)
	s.reach("started")
	s.deliver(syscall.SIGTERM)
	s.drains()
	s.ends()
}

// Guards against a failed process that does not end, and so is not started again, because
// nobody reads its error output.
func TestErrorOutputThatIsNotReadDelaysTheEndBriefly(t *testing.T) {
	_, w := pipe(t)
	fill(t, w)
	s := startStaged(t, "fail", w)
	s.reach("started")
	select {
	case <-s.exited:
	case <-time.After(stagedLimit):
		t.Fatal("the program did not end")
	}
	if code := s.cmd.ProcessState.ExitCode(); code != ExitFailure {
		t.Errorf("exit code %d, want %d", code, ExitFailure)
	}
}

// fill writes to a pipe until it is full.
func fill(t *testing.T, w *os.File) {
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
	// A child gets the descriptor in blocking mode.
	w.Fd()
}
