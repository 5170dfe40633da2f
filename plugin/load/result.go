package load

import (
	"cmp"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Result is the outcome of a run.
type Result struct {
	Run      string   `json:"run"`
	Settings Settings `json:"settings"`
	// Seconds is the time from the start of the run to the last outcome.
	Seconds float64 `json:"seconds"`
	// Calls counts all planned calls that were due, sent or not.
	Calls int `json:"calls"`
	// Succeeded counts the calls with a complete and correct answer.
	Succeeded int `json:"succeeded"`
	// FailedByVerdict counts the other calls by verdict, which states whether they were executed.
	FailedByVerdict map[string]int `json:"failed_by_verdict"`
	// Outcomes counts all calls by outcome.
	Outcomes map[string]int `json:"outcomes"`
	// Repeated counts the calls that took more than one attempt.
	Repeated int `json:"repeated"`
	// Failed lists the first failed calls, in the order in which they ended.
	Failed []Failure `json:"failed"`
	// Duplicates lists the IDs of non-idempotent calls that were executed more than once.
	Duplicates []string `json:"duplicates"`
	// Executions counts the executions of this run's calls at all stand-ins that reported.
	Executions int `json:"executions"`
	// PerUpstream maps the name of each stand-in to the number of executions there.
	PerUpstream map[string]int `json:"executions_per_upstream"`
	// MissingReports lists the addresses of the stand-ins that did not report.
	MissingReports []string `json:"silent_upstreams"`
	Groups         []Group  `json:"groups"`
	Checks         []Check  `json:"checks"`
	// OK is true if all checks passed.
	OK bool `json:"ok"`
}

// maxListedFailures is the maximum length of Result.Failed.
const maxListedFailures = 20

// Failure describes one call that did not succeed.
type Failure struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Host    string `json:"host"`
	Node    string `json:"node"`  // the first node that was tried
	AtMS    int64  `json:"at_ms"` // the planned arrival, in milliseconds from the start of the run
	Outcome string `json:"outcome"`
	Verdict string `json:"verdict"`
	Error   string `json:"error"`
}

func newFailure(s *Settings, e *Entry) Failure {
	return Failure{
		ID: e.Plan.ID, Kind: e.Plan.Kind, Host: s.Organisations[e.Plan.Organisation].Host, Node: s.Nodes[e.Plan.Nodes[0]],
		AtMS: e.Plan.Arrival.Milliseconds(), Outcome: e.Outcome, Verdict: e.Verdict.String(), Error: e.Error,
	}
}

// Group sums up the calls of one organisation, host and kind.
type Group struct {
	Organisation string `json:"organisation"`
	Host         string `json:"host"`
	Kind         Kind   `json:"kind"`
	Calls        int    `json:"calls"`
	Succeeded    int    `json:"succeeded"`
	// FromArrival is the distribution of Entry.FromArrival of the successful calls.
	FromArrival Quantiles `json:"from_arrival"`
	// FromSend is the distribution of Entry.FromSend of the successful calls.
	FromSend Quantiles `json:"from_send"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// NewHistogram returns an empty histogram of latencies in microseconds, from 1 µs to 10 minutes with
// three significant digits.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

// NewQuantiles returns the quantiles of a histogram of latencies in microseconds.
func NewQuantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// buildResult builds the result from the ledger and the executions that the stand-ins reported.
func (l *Load) buildResult(totals executionTotals, seconds float64) Result {
	entries := l.Ledger()
	r := Result{
		Run: l.runID, Settings: *l.s, Seconds: seconds, Calls: len(entries), FailedByVerdict: map[string]int{}, Failed: []Failure{},
		Outcomes: map[string]int{}, Duplicates: findDuplicates(entries, totals.counts), Executions: totals.total,
		PerUpstream: totals.perUpstream, MissingReports: totals.missingReports, Groups: groupEntries(l.s, entries),
	}
	for i := range entries {
		e := &entries[i]
		r.Outcomes[e.Outcome]++
		if e.Attempts > 1 {
			r.Repeated++
		}
		if e.Outcome == outcomeOK {
			r.Succeeded++
		} else {
			r.FailedByVerdict[e.Verdict.String()]++
			if len(r.Failed) < maxListedFailures {
				r.Failed = append(r.Failed, newFailure(l.s, e))
			}
		}
	}
	allReported := len(l.s.Reports) > 0 && len(totals.missingReports) == 0
	r.Checks = append(checkEntries(entries, totals.counts, allReported), l.checkLimits(&r)...)
	r.OK = true
	for _, k := range r.Checks {
		r.OK = r.OK && k.OK
	}
	return r
}

// checkLimits checks the run against the limits in its settings.
func (l *Load) checkLimits(r *Result) []Check {
	failed := 100 * float64(r.Calls-r.Succeeded) / float64(max(r.Calls, 1))
	return []Check{
		{Name: "the generator sent every call", OK: r.Outcomes[outcomeUnsent] == 0 && r.Calls > 0, Checked: r.Calls,
			Detail: fmt.Sprintf("%d unsent", r.Outcomes[outcomeUnsent])},
		{Name: "enough stand-ins reported", OK: len(r.MissingReports) <= l.s.MaxMissingReports, Checked: len(l.s.Reports),
			Detail: fmt.Sprintf("%d silent, %d allowed", len(r.MissingReports), l.s.MaxMissingReports)},
		{Name: "failed calls stay within the limit", OK: failed <= l.s.MaxFailedPercent, Checked: r.Calls,
			Detail: fmt.Sprintf("%.2f %% failed, %.2f %% allowed", failed, l.s.MaxFailedPercent)},
	}
}

// groupEntries sums up the entries by organisation, host and kind, and sorts the groups in that
// order.
func groupEntries(s *Settings, entries []Entry) []Group {
	type key struct {
		organisation int
		kind         Kind
	}
	type sums struct {
		calls, succeeded int
		arrival, send    *hdrhistogram.Histogram
	}
	all := map[key]*sums{}
	for i := range entries {
		e := &entries[i]
		k := key{e.Plan.Organisation, e.Plan.Kind}
		g := all[k]
		if g == nil {
			g = &sums{arrival: NewHistogram(), send: NewHistogram()}
			all[k] = g
		}
		g.calls++
		if e.Outcome == outcomeOK {
			g.succeeded++
			_ = g.arrival.RecordValue(e.FromArrival.Microseconds())
			_ = g.send.RecordValue(e.FromSend.Microseconds())
		}
	}
	groups := make([]Group, 0, len(all))
	for k, g := range all {
		groups = append(groups, Group{
			Organisation: s.Organisations[k.organisation].Name, Host: s.Organisations[k.organisation].Host, Kind: k.kind, Calls: g.calls, Succeeded: g.succeeded,
			FromArrival: NewQuantiles(g.arrival), FromSend: NewQuantiles(g.send),
		})
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Kind, b.Kind)) < 0
	})
	return groups
}

// WriteTable writes the result as a short table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run %s, seed %d: %d calls in %.1f s, %d succeeded, %d repeated, %d executions, %d duplicates\n",
		r.Run, r.Settings.Seed, r.Calls, r.Seconds, r.Succeeded, r.Repeated, r.Executions, len(r.Duplicates))
	fmt.Fprintf(t, "failed: not-run %d, may-have-run %d; outcomes: %s\n",
		r.FailedByVerdict[verdict.NotRun.String()], r.FailedByVerdict[verdict.MayHaveRun.String()], formatCounts(r.Outcomes))
	fmt.Fprintln(t, "ORGANISATION\tHOST\tKIND\tCALLS\tOK\tP50 ms\tP99 ms\tP99.9 ms\tMAX ms\tSEND P99 ms")
	for _, g := range r.Groups {
		a := g.FromArrival
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n",
			g.Organisation, g.Host, g.Kind, g.Calls, g.Succeeded, a.P50, a.P99, a.P999, a.Max, g.FromSend.P99)
	}
	for _, c := range r.Checks {
		state := "ok"
		if !c.OK {
			state = "FAILED"
		}
		fmt.Fprintf(t, "%s\t%s (%d) %s\n", state, c.Name, c.Checked, c.Detail)
	}
	return t.Flush()
}

func formatCounts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	text := ""
	for i, n := range names {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", n, m[n])
	}
	return text
}
