package role

import (
	_ "github.com/celeryyard/celeryyard/plugin/standin" // registers itself
)

// Upstream lists the plug-ins of a stand-in upstream.
func Upstream() []string { return []string{"admin", "standin"} }
