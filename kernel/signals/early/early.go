// Package early registers the signal handlers of a program during package initialization.
// Programs that call kernel.Main import it, so that the handlers are in place before the
// packages of the plug-ins are initialized, which takes most of the time before Main is
// called. Programs that must end at once on a signal, such as the operators' command, do
// not import it.
package early

import "github.com/celeryyard/celeryyard/kernel/signals"

func init() { signals.Catch() }
