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
	// outcomeOK is an answer with status 200 whose ID and body match the call.
	outcomeOK = "ok"
	// outcomeWrongAnswer is an answer with status 200 whose ID or body does not match the call.
	outcomeWrongAnswer = "wrong-answer"
	// outcomeTimeout is a call that was not answered before the timeout of the attempt.
	outcomeTimeout = "timeout"
	// outcomeNotConnected is an error before any byte of the request was sent.
	outcomeNotConnected = "not-connected"
	// outcomeBroken is any other error without an answer.
	outcomeBroken = "broken"
	// outcomeUnsent is a call that the generator did not send, because it was overloaded or stopping.
	outcomeUnsent = "unsent"
)

// Entry is the outcome of one call in the ledger.
type Entry struct {
	Plan PlannedCall
	// Attempts counts the attempts to send the call, successful or not.
	Attempts int
	// Outcome is the outcome of the last attempt.
	Outcome string
	// Verdict states whether any attempt was executed.
	Verdict verdict.Verdict
	// Upstream is the name of the stand-in that answered.
	Upstream string
	// FromArrival is the time from the planned arrival to the outcome. It includes delays in the
	// generator, so that a slow system cannot hide its latency (coordinated omission).
	FromArrival time.Duration
	// FromSend is the time from the start of the last attempt to the outcome.
	FromSend time.Duration
	// Error is the error of the last attempt; empty if it succeeded.
	Error string
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

// maxExamples is the maximum number of calls that Check.Detail lists.
const maxExamples = 5

// checkEntries checks the entries against the executions counted at the stand-ins. The check that
// successful calls were executed is made only if all stand-ins reported: otherwise the execution may
// be in a missing report.
func checkEntries(entries []Entry, executions map[string]int, allReported bool) []Check {
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
	if allReported {
		checks = append(checks, runCheck("a call with a success was executed", entries,
			func(e *Entry) bool { return e.Outcome == outcomeOK },
			func(e *Entry) bool { return executions[e.Plan.ID] > 0 }, executions))
	}
	return checks
}

// runCheck applies ok to each entry for which selects returns true. The check fails if ok returns
// false for any of them.
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

// mergeVerdicts combines the verdict of the earlier attempts with that of the latest attempt. An
// attempt that ran outweighs one that may have run, and both outweigh any number of attempts that
// did not run.
func mergeVerdicts(earlier, latest verdict.Verdict) verdict.Verdict {
	switch {
	case earlier == verdict.Ran || latest == verdict.Ran:
		return verdict.Ran
	case earlier == verdict.MayHaveRun || latest == verdict.MayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
