// Package node registers and lists the plug-ins of the process beside an upstream.
package node

import (
	_ "github.com/celeryyard/celeryyard/plugin/admin"       // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/announce"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/callers"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/cost"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/idempotency" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/inbound"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/limiter"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/lineage"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/outbound"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/peer"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/pressure"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/session"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/trace"       // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/view"        // registers itself
)

// Plugins lists the plug-ins of the process beside an upstream.
func Plugins() []string {
	return []string{"pressure", "admin", "trace", "peer", "view", "session", "announce", "lineage", "cost", "callers", "limiter", "outbound", "inbound", "idempotency"}
}
