package load

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/standin"
)

// collectTimeout bounds the request for the report of one stand-in. A stand-in that takes longer
// counts as missing.
const collectTimeout = 10 * time.Second

// executionTotals sums up the executions that the stand-ins report.
type executionTotals struct {
	// counts maps the ID of each call to the number of its executions at all stand-ins.
	counts map[string]int
	// total is the sum of counts.
	total int
	// perUpstream maps the name of each stand-in to the number of executions there.
	perUpstream map[string]int
	// missingReports lists the addresses of the stand-ins that did not report.
	missingReports []string
}

// unsentEntry returns the entry of a call that was not sent because of err.
func unsentEntry(p PlannedCall, err error) Entry {
	return Entry{Plan: p, Outcome: outcomeUnsent, Verdict: verdict.NotRun, Error: err.Error()}
}

// collectExecutions fetches the reports of all stand-ins and sums up the executions of this run.
func (l *Load) collectExecutions() executionTotals {
	out := executionTotals{counts: map[string]int{}, perUpstream: map[string]int{}}
	for _, address := range l.s.Reports {
		r, err := l.fetchExecutions(address)
		if err != nil {
			l.c.Log.Log(evReportMissing).Str("address", address).Err(err).Send()
			out.missingReports = append(out.missingReports, address)
			continue
		}
		for id, n := range r.Counts {
			out.counts[id] += n
			out.total += n
			out.perUpstream[r.Instance] += n
		}
	}
	return out
}

func (l *Load) fetchExecutions(address string) (*standin.Executions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/executions", RawQuery: url.Values{"prefix": {l.runID}}.Encode()}
	req, err := http.NewRequest(http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	res, err := l.reportClient.Do(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if res.Status != http.StatusOK {
		return nil, errors.Newf("executions of %s: status %d", address, res.Status)
	}
	var r standin.Executions
	if err := json.Unmarshal(res.Body, &r); err != nil {
		return nil, errors.Wrapf(err, "executions of %s", address)
	}
	if r.Unlisted > 0 {
		return nil, errors.Newf("executions of %s: %d are not listed because max_executions is too low", address, r.Unlisted)
	}
	return &r, nil
}

// maxReportBytes bounds the size of a report; a larger one counts as missing. It is enough for about
// 1,000,000 IDs.
const maxReportBytes = 64 << 20

func newReportClient() *httponce.Client {
	c := httponce.New(0)
	c.MaxBodyBytes = maxReportBytes
	return c
}
