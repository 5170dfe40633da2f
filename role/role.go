// Package role lists the plug-ins of each program of the fleet, so that
// programs and tests that embed a kernel run the same ones.
package role

import (
	_ "github.com/celeryyard/celeryyard/plugin/admin"   // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/journal" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/peer"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/quorum"  // registers itself
)

// Control lists the plug-ins of a control instance.
func Control() []string { return []string{"admin", "peer", "journal", "quorum"} }

// Node lists the plug-ins of the process beside an upstream.
func Node() []string { return []string{"admin", "peer"} }
