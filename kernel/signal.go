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

// Phases of a kernel, in order.
const (
	phaseStarting = iota
	phaseRunning
	phaseStopping
)

var phaseNames = [...]string{phaseStarting: "starting", phaseRunning: "running", phaseStopping: "stopping"}

// watchSignals turns signals into stop and reload requests to the kernel until ctx ends.
// It keeps running during the planned stop, when further requests have no effect.
func (k *Kernel) watchSignals(ctx context.Context, stop func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals.StopRequests():
			k.logSignal(s)
			stop()
		case s := <-signals.ReloadRequests():
			k.logSignal(s)
			k.requestReload()
		}
	}
}

func (k *Kernel) requestReload() {
	select {
	case k.reloadRequests <- struct{}{}:
	default: // a reload is already pending
	}
}

func (k *Kernel) logSignal(s os.Signal) {
	k.log.Log(evSignal).Str("signal", signalName(s)).Str("phase", phaseNames[k.phase.Load()]).Send()
}

// signalName returns the name of a signal, such as SIGTERM.
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
