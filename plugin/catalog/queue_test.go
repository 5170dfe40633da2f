package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/api/apitest"
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

type submitResult struct {
	id  string
	out change.Outcome
	err error
}

// Guards against racing configurations that all enter the log although only one of them can be accepted, against
// configurations that are sent again while they are in progress and enter it twice, and against submissions that are not
// answered once another instance's configuration decides them. With thousands of routes each entry takes megabytes
// on every instance.
func TestRacingConfigurationsEnterTheLogOnce(t *testing.T) {
	k, _ := kerneltest.Start(t, []string{"quorum", "catalog"}, `{"instance": {"name": "a"}}`, false)
	c, log := k.Plugin("catalog").(*Catalog), k.Plugin("quorum").(*apitest.Quorum)
	results := make(chan submitResult, 100)
	submit := func(id string, next *resource.Configuration) {
		c.SubmitConfiguration(id, "platform", next, 5*time.Second, func(out change.Outcome, err error) { results <- submitResult{id, out, err} })
	}
	submit("c1", newConfiguration(1, 0, "a"))
	if r := <-results; r.err != nil || r.out.State != change.StateAccepted {
		t.Fatalf("first configuration: %+v", r)
	}
	log.SetFault(apitest.Silent) // no leader answers
	before := log.Status().Commit
	for range 2 {
		for i := range 8 {
			submit(fmt.Sprint("race", i), newConfiguration(2, 1, fmt.Sprint("b", i)))
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for log.Status().Commit == before && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if n := log.Status().Commit - before; n != 1 {
		t.Errorf("%d entries were added to the log, want 1", n)
	}
	// Another instance has proposed the one that wins.
	entry, err := encodeEntry(entry{Change: newConfigurationChange(t, "race5", newConfiguration(2, 1, "b"))})
	if err != nil {
		t.Fatal(err)
	}
	c.Apply(before+1, entry)
	for range 16 {
		select {
		case r := <-results:
			if accepted := r.out.State == change.StateAccepted; r.err != nil || accepted != (r.id == "race5") {
				t.Errorf("%+v", r)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a submission was not answered")
		}
	}
}

// Guards against a configuration that enters the log in full because its base is not in force on this instance, which may
// be behind the others: the instance has to catch up first.
func TestConfigurationOfUnknownBaseEntersNoLog(t *testing.T) {
	k, _ := kerneltest.Start(t, []string{"quorum", "catalog"}, `{"instance": {"name": "a"}}`, false)
	c, log := k.Plugin("catalog").(*Catalog), k.Plugin("quorum").(api.Log)
	results := make(chan submitResult, 1)
	for _, step := range []struct {
		id     string
		config *resource.Configuration
		want   change.State
		added  uint64
	}{
		{"c9", newConfiguration(9, 4, "a"), change.StateRefused, 0},
		{"c1", newConfiguration(1, 0, "a"), change.StateAccepted, 1},
		{"c9", newConfiguration(9, 4, "a"), change.StateRefused, 0},
		{"c4", newConfiguration(4, 1, "b"), change.StateAccepted, 1},
		{"c9", newConfiguration(9, 4, "a"), change.StateAccepted, 1},
	} {
		before := log.Status().Commit
		c.SubmitConfiguration(step.id, "platform", step.config, 5*time.Second, func(out change.Outcome, err error) { results <- submitResult{step.id, out, err} })
		if r := <-results; r.err != nil || r.out.State != step.want || log.Status().Commit-before != step.added {
			t.Errorf("%+v with %d entries, want %s with %d", r, log.Status().Commit-before, step.want, step.added)
		}
	}
}

// Guards against a queue that stays blocked by a proposal that has failed, and against answers after the deadline that do not
// state that the configuration was not proposed.
func TestQueueContinuesAfterFailedProposal(t *testing.T) {
	var q configurationQueue
	s := newState()
	s.apply(newConfigurationChange(t, "c1", newConfiguration(1, 0, "a")), 1)
	now := time.Unix(100, 0)
	for i := range 3 {
		q.add(&submission{id: fmt.Sprint("c", i+2), base: 1, next: newConfiguration(uint64(i)+2, 1, "b"), deadline: now.Add(time.Duration(i+1) * time.Second)})
	}
	first := q.advance(s, now).propose
	if first == nil || first.id != "c2" || q.advance(s, now).propose != nil {
		t.Fatalf("proposed %+v first", first)
	}
	if a := q.endProposal(first, change.Outcome{}, errQueueTimeout); a == nil || a.err == nil {
		t.Fatalf("answer %+v to a failed proposal", a)
	}
	if q.endProposal(first, change.Outcome{}, nil) != nil {
		t.Fatal("a proposal was answered twice")
	}
	work := q.advance(s, now.Add(2*time.Second))
	if len(work.answers) != 1 || verdict.Of(work.answers[0].err) != verdict.NotRun || work.propose == nil || work.propose.id != "c4" {
		t.Fatalf("after the failure: %+v", work)
	}
}
