package load

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/standin/answer"
)

// headerVerdict carries the verdict in answers that nodes give themselves.
const headerVerdict = "Celeryyard-Verdict"

// attempt is the outcome of one sending.
type attempt struct {
	outcome  string
	verdict  verdict.Verdict
	upstream string
	err      error
}

// send makes one call, with repeats when it has an Idempotency-Key. It runs on a
// worker of the plug-in's own pool and blocks.
func (l *Load) send(ctx context.Context, p Plan) Entry {
	e := Entry{Plan: p, Verdict: verdict.NotRun}
	for {
		node := l.s.Nodes[p.Nodes[e.Attempts%len(p.Nodes)]]
		sent := l.c.Clock.Now()
		timeout := l.s.Timeout.D()
		if e.Attempts == 0 && p.DropAfter > 0 {
			timeout = p.DropAfter
		}
		a := l.attempt(ctx, node, p, timeout)
		e.Attempts++
		e.Verdict, e.Outcome, e.Upstream = merge(e.Verdict, a.verdict), a.outcome, a.upstream
		e.FromSend = l.c.Clock.Now().Sub(sent)
		e.Error = ""
		if a.err != nil {
			e.Error = a.err.Error()
		}
		if p.Kind != KindKeyed || a.verdict == verdict.Ran || e.Attempts > l.s.Repeats || !pause(ctx, l.s.RepeatPause.D()) {
			return e
		}
	}
}

func (l *Load) attempt(ctx context.Context, node string, p Plan, timeout time.Duration) attempt {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := l.request(p)
	if err != nil {
		return attempt{outcome: outcomeBroken, verdict: verdict.NotRun, err: err}
	}
	res, err := l.client.Do(ctx, node, req)
	if err != nil {
		return failed(err)
	}
	return judge(p.ID, l.s.AnswerBytes, res)
}

func (l *Load) request(p Plan) (*http.Request, error) {
	o := l.s.Organisations[p.Organisation]
	method, body := http.MethodGet, ""
	if p.Kind != KindGet {
		method, body = http.MethodPost, "order "+p.ID
	}
	req, err := http.NewRequest(method, "http://"+o.Host+o.Path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(answer.HeaderID, p.ID)
	req.Header.Set("X-Request-Id", p.ID)
	req.Header.Set(answer.HeaderBytes, strconv.Itoa(l.s.AnswerBytes))
	if l.s.Depth > 0 {
		req.Header.Set(answer.HeaderDepth, strconv.Itoa(l.s.Depth))
	}
	if l.s.Direct {
		req.Header.Set(answer.HeaderDirect, "1")
	}
	if p.Kind == KindKeyed {
		req.Header.Set("Idempotency-Key", p.ID)
	}
	return req, nil
}

// failed classifies an attempt without an answer.
func failed(err error) attempt {
	a := attempt{outcome: outcomeBroken, verdict: verdict.Of(err), err: err}
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		a.outcome = outcomeTimeout
	case a.verdict == verdict.NotRun:
		a.outcome = outcomeRefused
	}
	return a
}

// judge classifies an answer. A success counts only with the body that belongs
// to the call. An answer without a verdict may have run.
func judge(id string, size int, res *httponce.Result) attempt {
	a := attempt{upstream: res.Header.Get(answer.HeaderUpstream)}
	if res.Status == http.StatusOK {
		a.outcome, a.verdict, a.err = outcomeOK, verdict.Ran, answer.Check(id, size, res.Body)
		if a.err == nil && res.Header.Get(answer.HeaderID) != id {
			a.err = errors.Newf("answer carries the ID %q", res.Header.Get(answer.HeaderID))
		}
		if a.err != nil {
			a.outcome = outcomeWrong
		}
		return a
	}
	a.outcome = fmt.Sprintf("status-%d", res.Status)
	a.err = errors.Newf("%s", strings.TrimSpace(string(res.Body[:min(len(res.Body), 200)])))
	if v, err := verdict.Parse(res.Header.Get(headerVerdict)); err == nil {
		a.verdict = v
	}
	return a
}

// pause waits for d and reports whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
