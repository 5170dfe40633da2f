// Package early catches the signals of a program when it is initialised. Programs that
// call kernel.Main import it: the packages of the plug-ins are initialised after it, which
// takes longer than all that comes before. Programs that end at once on a signal, such
// as the operators' command, do not import it.
package early

import "github.com/celeryyard/celeryyard/kernel/signals"

func init() { signals.Catch() }
