package role

import (
	_ "github.com/celeryyard/celeryyard/plugin/load" // registers itself
)

// Load lists the plug-ins of a load run.
func Load() []string { return []string{"load"} }
