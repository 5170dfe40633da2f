// Package signals handles the signals of a program that runs a kernel. It registers
// handlers once, as early as possible, and keeps them until the process ends: a signal that
// arrived between two registrations, or after the handlers were removed, would end the
// process by its default action or be lost.
//
// SIGINT and SIGTERM request a planned stop, SIGHUP a reload of the settings. SIGPIPE is
// ignored, because a write to a standard output whose reader has closed the pipe must not
// end a process with calls in flight; the write fails instead. SIGQUIT keeps its default
// action: it ends the process and writes the goroutine stacks. The Go runtime ignores the
// other signals that can be sent to a process, such as SIGUSR1, SIGUSR2, SIGALRM and SIGIO.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Each kind of request has its own channel with a buffer of one: while a request is
// pending, further requests of the same kind are redundant and dropped, and requests of
// one kind never displace those of the other.
var (
	stopRequests   = make(chan os.Signal, 1)
	reloadRequests = make(chan os.Signal, 1)
)

// Catch registers the signal handlers. Requests are buffered until they are read. Further
// calls have no effect.
func Catch() {
	signal.Notify(stopRequests, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reloadRequests, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
}

// Reset restores the default actions of the signals that request a stop or a reload, for
// a command that runs no kernel and must end at once on a signal.
func Reset() { signal.Reset(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP) }

// StopRequests returns the channel of requests for a planned stop; its elements are the
// signals.
func StopRequests() <-chan os.Signal { return stopRequests }

// ReloadRequests returns the channel of requests for a reload of the settings; its
// elements are the signals.
func ReloadRequests() <-chan os.Signal { return reloadRequests }
