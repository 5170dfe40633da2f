// Package signals owns the signals of a program that a kernel runs. They are caught once,
// as early as possible, and until the process ends: between two registrations, or after
// the last one, a signal would end the process by its default action or be lost.
//
// SIGINT and SIGTERM ask for a planned stop, SIGHUP for a reload of the settings. SIGPIPE
// is ignored, because a write to a standard output whose reader has gone must not end a
// process with calls in flight; the write fails instead. SIGQUIT keeps its meaning: it
// ends the process and writes the stacks. The Go runtime ignores the other signals that a
// process can be sent, such as SIGUSR1, SIGUSR2, SIGALRM and SIGIO.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Each kind of request has a channel of its own with room for one: while a request waits,
// a further one of its kind adds nothing and is dropped, and none displaces another kind.
var (
	stop   = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
)

// Catch begins to catch the signals. Requests that come before anyone reads them are
// kept. Catch may be called again and has then no effect.
func Catch() {
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
}

// Release gives the signals their default action again, for a command that runs no kernel
// and ends at once.
func Release() { signal.Reset(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP) }

// Stop returns the channel of requests for a planned stop.
func Stop() <-chan os.Signal { return stop }

// Reload returns the channel of requests for a reload of the settings.
func Reload() <-chan os.Signal { return reload }
