package kernel

import (
	"context"
	"os"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/signals"
)

var evSignal = event.Declare(108, zerolog.InfoLevel, "signal received")

// Phases of a process, in their order.
const (
	phaseStarting = iota
	phaseRunning
	phaseStopping
)

var phaseNames = [...]string{phaseStarting: "starting", phaseRunning: "running", phaseStopping: "stopping"}

// watchSignals turns the signals of the process into requests to the kernel until ctx
// ends. It goes on during the planned stop, in which further requests have no effect.
func (k *Kernel) watchSignals(ctx context.Context, stop func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals.Stop():
			k.logSignal(s)
			stop()
		case s := <-signals.Reload():
			k.logSignal(s)
			select {
			case k.reloads <- struct{}{}:
			default: // a waiting request covers this one
			}
		}
	}
}

func (k *Kernel) logSignal(s os.Signal) {
	k.log.Log(evSignal).Str("signal", signalName(s)).Str("phase", phaseNames[k.phase.Load()]).Send()
}

// signalName returns the usual name, such as SIGTERM.
func signalName(s os.Signal) string {
	switch s {
	case syscall.SIGHUP:
		return "SIGHUP"
	case syscall.SIGINT:
		return "SIGINT"
	case syscall.SIGTERM:
		return "SIGTERM"
	}
	return s.String()
}
