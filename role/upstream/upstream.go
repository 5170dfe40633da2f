// Package upstream registers and lists the plug-ins of a stand-in upstream.
package upstream

import (
	_ "github.com/celeryyard/celeryyard/plugin/admin"   // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/standin" // registers itself
)

// Plugins lists the plug-ins of a stand-in upstream.
func Plugins() []string {
	return []string{"admin", "standin"}
}
