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

// collectTimeout bounds the report of one stand-in.
const collectTimeout = 10 * time.Second

// collected is what the stand-ins report together.
type collected struct {
	counts map[string]int
	total  int
	// perUpstream counts the executions of the run at each stand-in.
	perUpstream map[string]int
	silent      []string
}

func unsent(p Plan, err error) Entry {
	return Entry{Plan: p, Outcome: outcomeUnsent, Verdict: verdict.NotRun, Error: err.Error()}
}

// collect asks every stand-in for its executions of this run.
func (l *Load) collect() collected {
	out := collected{counts: map[string]int{}, perUpstream: map[string]int{}}
	for _, address := range l.s.Reports {
		r, err := l.fetch(address)
		if err != nil {
			l.c.Log.Log(evSilent).Str("address", address).Err(err).Send()
			out.silent = append(out.silent, address)
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

func (l *Load) fetch(address string) (*standin.Executions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/executions", RawQuery: url.Values{"prefix": {l.run}}.Encode()}
	req, err := http.NewRequest(http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	res, err := l.reports.Do(ctx, address, req)
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
		return nil, errors.Newf("executions of %s: %d are not listed, max_executions is too low", address, r.Unlisted)
	}
	return &r, nil
}

// maxReport bounds the bytes of a report: about 1,000,000 IDs.
const maxReport = 64 << 20

func reportClient() *httponce.Client {
	c := httponce.New(0)
	c.MaxBody = maxReport
	return c
}
