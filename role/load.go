package role

import (
	_ "github.com/celeryyard/celeryyard/plugin/experiment" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/load"       // registers itself
)

// Load lists the plug-ins of a load run.
func Load() []string { return []string{"load"} }

// Experiment lists the plug-ins of a run of experiments. The kernels that an
// experiment starts run the plug-ins of the other roles.
func Experiment() []string { return []string{"experiment"} }
