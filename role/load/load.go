// Package load registers and lists the plug-ins of load runs and experiments.
package load

import (
	_ "github.com/celeryyard/celeryyard/plugin/experiment" // registers itself
	_ "github.com/celeryyard/celeryyard/plugin/load"       // registers itself
)

// Plugins lists the plug-ins of a load run.
func Plugins() []string { return []string{"load"} }

// Experiment lists the plug-ins of a run of experiments. The kernels that an
// experiment starts run the plug-ins of the other roles.
func Experiment() []string { return []string{"experiment"} }
