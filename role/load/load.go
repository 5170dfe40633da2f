// Package load registers and lists the plug-ins of load runs and experiments.
package load

import (
	"github.com/celeryyard/celeryyard/plugin/experiment"
	_ "github.com/celeryyard/celeryyard/plugin/load" // registers itself
	"github.com/celeryyard/celeryyard/role/control"
	"github.com/celeryyard/celeryyard/role/node"
	"github.com/celeryyard/celeryyard/role/upstream"
)

func init() {
	experiment.ProgramPlugins = experiment.PluginsByProgram{
		Control: control.Plugins(), Node: node.Plugins(), Upstream: upstream.Plugins(), Load: Plugins(),
	}
}

// Plugins lists the plug-ins of a load run.
func Plugins() []string { return []string{"load"} }

// ExperimentPlugins lists the plug-ins of the process that runs experiments. The kernels that an
// experiment starts run the plug-ins of the other programs.
func ExperimentPlugins() []string { return []string{"experiment"} }
