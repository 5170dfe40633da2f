package experiment_test

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/experiment"
	loadrole "github.com/celeryyard/celeryyard/role/load"
)

// Guards against scenarios that no longer run against the rest of the system.
// Limits are not checked: a test machine is too busy for them.
func TestEveryScenarioRuns(t *testing.T) {
	text, err := json.Marshal(map[string]any{
		"instance": map[string]any{"name": "x"},
		"experiment": map[string]any{
			"scenarios": experiment.Names(), "nodes": []int{4, 6}, "changes": 3, "missed": 5, "duration": "300ms",
			"rates": []float64{50}, "depth": 3, "coalesce": []string{"0s"}, "folder": t.TempDir(),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	k, _ := kerneltest.Start(t, loadrole.Experiment(), string(text), false)
	x := k.Service("experiment").(*experiment.Experiment)
	select {
	case <-x.Done():
	case <-time.After(3 * time.Minute):
		t.Fatal("the scenarios do not end")
	}
	r := x.Result()
	for _, e := range r.Errors {
		t.Error(e)
	}
	seen := map[string]int{}
	for i := range r.Rows {
		seen[r.Rows[i].Scenario]++
		if r.Rows[i].Samples == 0 {
			t.Errorf("figure without samples: %+v", r.Rows[i])
		}
	}
	for _, name := range experiment.Names() {
		if seen[name] == 0 {
			t.Errorf("scenario %s reports nothing", name)
		}
	}
}
