// Package role lists the plug-ins of each program of the fleet, so that
// programs and tests that embed a kernel run the same ones.
package role

import (
	_ "github.com/celeryyard/celeryyard/plugin/admin"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/announce"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/catalog"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/discovery"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/distribution" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/idempotency"  // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/inbound"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/journal"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/operator"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/outbound"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/peer"         // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/quorum"       // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/session"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/trace"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/view"         // registers itself
)

// Control lists the plug-ins of a control instance.
func Control() []string {
	return []string{"admin", "trace", "peer", "journal", "quorum", "catalog", "operator", "discovery", "distribution"}
}

// Node lists the plug-ins of the process beside an upstream.
func Node() []string {
	return []string{"admin", "trace", "peer", "view", "session", "announce", "outbound", "inbound", "idempotency"}
}
