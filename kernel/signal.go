package kernel

import (
	"os"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/event"
)

var evSignal = event.Declare(108, zerolog.InfoLevel, "signal received")

// Phases of a process, in their order.
const (
	phaseStarting = iota
	phaseRunning
	phaseStopping
)

var phaseNames = [...]string{phaseStarting: "starting", phaseRunning: "running", phaseStopping: "stopping"}

// heldSignals bounds the signals that wait to be logged.
const heldSignals = 16

// logSignals logs each signal with the phase in which it was read. It runs until the
// process ends.
func (k *Kernel) logSignals(held <-chan os.Signal) {
	for s := range held {
		k.logSignal(s)
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
