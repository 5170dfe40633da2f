package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Outcomes of a call. An answer with a status other than 200 has the outcome "status-" and the
// status code.
const (
	outcomeOK = "ok"
	// outcomeWrongAnswer is an answer with status 200 whose ID or body does not match the call.
	outcomeWrongAnswer = "wrong-answer"
	outcomeTimeout     = "timeout"
	// outcomeNotConnected is an error before any byte of the request was sent.
	outcomeNotConnected = "not-connected"
	// outcomeBroken is any other error that left the call unanswered.
	outcomeBroken = "broken"
	// outcomeUnsent is a call that the generator did not send, because it was overloaded or stopping.
	outcomeUnsent = "unsent"
)

// Entry is the outcome of one call in the ledger.
type Entry struct {
	Plan PlannedCall
	// Attempts counts the attempts to send the call, successful or not.
	Attempts int
	Outcome  string
	Verdict  verdict.Verdict
	// Upstream is the name of the stand-in that answered.
	Upstream string
	// FromArrival is the time from the planned arrival to the outcome. It includes delays in the
	// generator, so that a slow system cannot hide its latency (coordinated omission).
	FromArrival time.Duration
	// FromSend is the time from the start of the last attempt to the outcome.
	FromSend time.Duration
	Error    string
}

// Check is the result of one check of a run.
type Check struct {
	Name string `json:"name"`
	OK   bool   `json:"ok"`
	// Checked counts the calls that were checked.
	Checked int `json:"checked"`
	// Detail lists up to five calls that failed the check, or states the measured value and its
	// limit.
	Detail string `json:"detail,omitempty"`
}

// maxExamples bounds the calls that Check.Detail lists.
const maxExamples = 5

// checkEntries checks the entries against the executions counted at the stand-ins. complete states
// whether all stand-ins reported; if not, a call without an execution proves nothing, so the check
// that successful calls were executed is left out.
func checkEntries(entries []Entry, executions map[string]int, complete bool) []Check {
	checks := []Check{
		runCheck("each success is whole and the answer to its own call", entries,
			func(e *Entry) bool { return e.Outcome == outcomeOK || e.Outcome == outcomeWrongAnswer },
			func(e *Entry) bool { return e.Outcome == outcomeOK }, executions),
		runCheck("a non-idempotent call is executed at most once", entries,
			func(e *Entry) bool { return e.Plan.Kind != KindGet },
			func(e *Entry) bool { return executions[e.Plan.ID] <= 1 }, executions),
		runCheck("a call reported as not run was never executed", entries,
			func(e *Entry) bool { return e.Verdict == verdict.NotRun },
			func(e *Entry) bool { return executions[e.Plan.ID] == 0 }, executions),
	}
	if complete {
		checks = append(checks, runCheck("a call with a success was executed", entries,
			func(e *Entry) bool { return e.Outcome == outcomeOK },
			func(e *Entry) bool { return executions[e.Plan.ID] > 0 }, executions))
	}
	return checks
}

// runCheck applies ok to each entry for which selects returns true.
func runCheck(name string, entries []Entry, selects, ok func(e *Entry) bool, executions map[string]int) Check {
	c := Check{Name: name}
	var examples []string
	failures := 0
	for i := range entries {
		e := &entries[i]
		if !selects(e) {
			continue
		}
		c.Checked++
		if ok(e) {
			continue
		}
		failures++
		if len(examples) < maxExamples {
			examples = append(examples, fmt.Sprintf("%s %s %s (%s, %s) executed %d times",
				e.Plan.ID, e.Plan.Kind, e.Outcome, e.Verdict, e.Error, executions[e.Plan.ID]))
		}
	}
	c.OK = failures == 0
	if failures > 0 {
		c.Detail = fmt.Sprintf("%d calls: %s", failures, strings.Join(examples, "; "))
	}
	return c
}

// findDuplicates returns the IDs of non-idempotent calls executed more than once.
func findDuplicates(entries []Entry, executions map[string]int) []string {
	var ids []string
	for i := range entries {
		if e := &entries[i]; e.Plan.Kind != KindGet && executions[e.Plan.ID] > 1 {
			ids = append(ids, e.Plan.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// mergeVerdicts combines the verdict of the attempts before with that of the next attempt. One
// attempt that may have run outweighs any number of attempts that did not.
func mergeVerdicts(before, attempt verdict.Verdict) verdict.Verdict {
	switch {
	case before == verdict.Ran || attempt == verdict.Ran:
		return verdict.Ran
	case before == verdict.MayHaveRun || attempt == verdict.MayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
