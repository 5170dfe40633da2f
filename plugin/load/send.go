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

// headerVerdict is the header in which a node states the verdict of a call, in answers that come
// from the node and not from an upstream.
const headerVerdict = "Celeryyard-Verdict"

// attemptResult is the outcome of one attempt to send a call.
type attemptResult struct {
	outcome  string
	verdict  verdict.Verdict
	upstream string
	err      error
}

// sendWithRetries makes one call. If the call has an Idempotency-Key, it is retried until the verdict
// of an attempt is Ran or Settings.Repeats is reached. sendWithRetries runs on a worker of
// Load.callPool and blocks it.
func (l *Load) sendWithRetries(ctx context.Context, p PlannedCall) Entry {
	e := Entry{Plan: p, Verdict: verdict.NotRun}
	for {
		node := l.s.Nodes[p.Nodes[e.Attempts%len(p.Nodes)]]
		sent := l.c.Clock.Now()
		timeout := l.s.Timeout.AsDuration()
		if e.Attempts == 0 && p.AbandonAfter > 0 {
			timeout = p.AbandonAfter
		}
		a := l.sendAttempt(ctx, node, p, timeout)
		e.Attempts++
		e.Verdict, e.Outcome, e.Upstream = mergeVerdicts(e.Verdict, a.verdict), a.outcome, a.upstream
		e.FromSend = l.c.Clock.Now().Sub(sent)
		e.Error = ""
		if a.err != nil {
			e.Error = a.err.Error()
		}
		if p.Kind != KindKeyed || a.verdict == verdict.Ran || e.Attempts > l.s.Repeats || !sleep(ctx, l.s.RepeatPause.AsDuration()) {
			return e
		}
	}
}

func (l *Load) sendAttempt(ctx context.Context, node string, p PlannedCall, timeout time.Duration) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := l.newRequest(p)
	if err != nil {
		return attemptResult{outcome: outcomeBroken, verdict: verdict.NotRun, err: err}
	}
	res, err := l.client.Do(ctx, node, req)
	if err != nil {
		return classifyError(err)
	}
	return classifyAnswer(p.ID, l.s.AnswerBytes, res)
}

func (l *Load) newRequest(p PlannedCall) (*http.Request, error) {
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

// classifyError returns the outcome of an attempt that got no answer.
func classifyError(err error) attemptResult {
	a := attemptResult{outcome: outcomeBroken, verdict: verdict.Of(err), err: err}
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		a.outcome = outcomeTimeout
	case a.verdict == verdict.NotRun:
		a.outcome = outcomeNotConnected
	}
	return a
}

// classifyAnswer returns the outcome of an attempt that got an answer. A status 200 counts as a
// success only if the ID and the body match the call. If the status is not 200 and the answer has no
// verdict, the call may have run.
func classifyAnswer(id string, bytes int, res *httponce.Response) attemptResult {
	a := attemptResult{upstream: res.Header.Get(answer.HeaderUpstream)}
	if res.Status == http.StatusOK {
		a.outcome, a.verdict, a.err = outcomeOK, verdict.Ran, answer.Check(id, bytes, res.Body)
		if a.err == nil && res.Header.Get(answer.HeaderID) != id {
			a.err = errors.Newf("answer carries the ID %q", res.Header.Get(answer.HeaderID))
		}
		if a.err != nil {
			a.outcome = outcomeWrongAnswer
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

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
