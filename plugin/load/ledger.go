package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Outcomes of a call. Any other answer is "status-" and its number.
const (
	outcomeOK = "ok"
	// outcomeWrong is a success whose body is not the whole answer to the call.
	outcomeWrong   = "wrong-answer"
	outcomeTimeout = "timeout"
	outcomeRefused = "not-connected"
	outcomeBroken  = "broken"
	outcomeUnsent  = "unsent"
)

// Entry is the outcome of one call.
type Entry struct {
	Plan Plan
	// Attempts counts how often the call was sent or tried to be sent.
	Attempts int
	Outcome  string
	Verdict  verdict.Verdict
	// Upstream names the stand-in that answered.
	Upstream string
	// FromArrival is the time from the planned arrival to the outcome. It contains
	// the generator's own delay, so that a slow system cannot hide its latency.
	FromArrival time.Duration
	// FromSend is the time from the sending of the last attempt to the outcome.
	FromSend time.Duration
	Error    string
}

// Check is the result of one comparison.
type Check struct {
	Name string `json:"name"`
	OK   bool   `json:"ok"`
	// Checked counts the calls that the comparison applied to.
	Checked int `json:"checked"`
	// Detail names up to five offending calls.
	Detail string `json:"detail,omitempty"`
}

// maxNamed bounds the calls that a check names.
const maxNamed = 5

// compare checks the entries against the executions counted at the stand-ins.
// complete tells whether all stand-ins were heard; without it, calls that must
// have run cannot be checked.
func compare(entries []Entry, counts map[string]int, complete bool) []Check {
	checks := []Check{
		check("each success is whole and the answer to its own call", entries,
			func(e *Entry) bool { return e.Outcome == outcomeOK || e.Outcome == outcomeWrong },
			func(e *Entry) bool { return e.Outcome == outcomeOK }, counts),
		check("a non-idempotent call is executed at most once", entries,
			func(e *Entry) bool { return e.Plan.Kind != KindGet },
			func(e *Entry) bool { return counts[e.Plan.ID] <= 1 }, counts),
		check("a call reported as not run was never executed", entries,
			func(e *Entry) bool { return e.Verdict == verdict.NotRun },
			func(e *Entry) bool { return counts[e.Plan.ID] == 0 }, counts),
	}
	if complete {
		checks = append(checks, check("a call with a success was executed", entries,
			func(e *Entry) bool { return e.Outcome == outcomeOK },
			func(e *Entry) bool { return counts[e.Plan.ID] > 0 }, counts))
	}
	return checks
}

// check applies ok to each entry that applies selects.
func check(name string, entries []Entry, applies, ok func(e *Entry) bool, counts map[string]int) Check {
	c := Check{Name: name}
	var named []string
	bad := 0
	for i := range entries {
		e := &entries[i]
		if !applies(e) {
			continue
		}
		c.Checked++
		if ok(e) {
			continue
		}
		bad++
		if len(named) < maxNamed {
			named = append(named, fmt.Sprintf("%s %s %s (%s, %s) executed %d times",
				e.Plan.ID, e.Plan.Kind, e.Outcome, e.Verdict, e.Error, counts[e.Plan.ID]))
		}
	}
	c.OK = bad == 0
	if bad > 0 {
		c.Detail = fmt.Sprintf("%d calls: %s", bad, strings.Join(named, "; "))
	}
	return c
}

// duplicates returns the IDs of non-idempotent calls executed more than once.
func duplicates(entries []Entry, counts map[string]int) []string {
	var ids []string
	for i := range entries {
		if e := &entries[i]; e.Plan.Kind != KindGet && counts[e.Plan.ID] > 1 {
			ids = append(ids, e.Plan.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// merge folds the verdict of one attempt into that of the attempts before: an
// attempt that may have run outweighs any number that did not.
func merge(before, attempt verdict.Verdict) verdict.Verdict {
	switch {
	case before == verdict.Ran || attempt == verdict.Ran:
		return verdict.Ran
	case before == verdict.MayHaveRun || attempt == verdict.MayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
