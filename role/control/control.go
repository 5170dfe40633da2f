// Package control registers and lists the plug-ins of a control instance.
package control

import (
	_ "github.com/celeryyard/celeryyard/plugin/admin"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/capacity"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/catalog"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/closures"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/discovery"    // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/distribution" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/intake"       // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/journal"      // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/operator"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/peer"         // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/pressure"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/quorum"       // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/quota"        // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/rollouts"     // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/trace"        // registers itself
)

// Plugins lists the plug-ins of a control instance.
func Plugins() []string {
	return []string{"pressure", "admin", "trace", "peer", "journal", "quorum", "catalog", "closures", "rollouts", "intake", "operator", "discovery", "capacity", "distribution", "quota"}
}
