package experiment_test

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/experiment"
	loadrole "github.com/celeryyard/celeryyard/role/load"
)

// Guards against scenarios that fail with the current code of the other packages. The test does not
// compare the figures with their limits, because other load on the machine affects the figures.
func TestEveryScenarioRuns(t *testing.T) {
	for _, name := range experiment.ScenarioNames() {
		t.Run(name, func(t *testing.T) { runScenario(t, name) })
	}
}

func runScenario(t *testing.T, name string) {
	nodes := []int{4}
	if name == "node-cost" {
		nodes = []int{2, 4}
	}
	text, err := json.Marshal(map[string]any{
		"instance": map[string]any{"name": "x"},
		"experiment": map[string]any{
			"scenarios": []string{name}, "nodes": nodes, "changes": 3, "missed": 5, "duration": "200ms", "rates": []float64{50},
			"depth": 3, "overload": []float64{1}, "coalesce": []string{"0s"}, "folder": t.TempDir(),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	k, _ := kerneltest.Start(t, loadrole.ExperimentPlugins(), string(text), false)
	x := k.Plugin("experiment").(*experiment.Experiment)
	select {
	case <-x.Done():
	case <-time.After(2 * time.Minute):
		t.Fatal("scenario did not end in time")
	}
	r := x.Result()
	for _, e := range r.Errors {
		t.Error(e)
	}
	if len(r.Rows) == 0 {
		t.Error("scenario reported no figures")
	}
	for i := range r.Rows {
		if r.Rows[i].Samples == 0 {
			t.Errorf("figure has no samples: %+v", r.Rows[i])
		}
	}
}
