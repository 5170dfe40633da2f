package role

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/role/control"
	"github.com/celeryyard/celeryyard/role/load"
	"github.com/celeryyard/celeryyard/role/node"
	"github.com/celeryyard/celeryyard/role/upstream"
)

// Guards against example settings that the programs reject.
func TestExampleSettingsAreValid(t *testing.T) {
	for name, plugins := range map[string][]string{
		"control": control.Plugins(), "node": node.Plugins(), "upstream": upstream.Plugins(),
		"load": load.Plugins(), "experiment": load.ExperimentPlugins(),
	} {
		file, err := settings.Load(filepath.Join("../examples/settings", name+".json"))
		if err != nil {
			t.Error(err)
			continue
		}
		if err := kernel.CheckSettings(kernel.Options{Plugins: plugins, Settings: file, Log: io.Discard}); err != nil {
			t.Error(err)
		}
	}
}
