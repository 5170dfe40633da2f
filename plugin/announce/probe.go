package announce

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// maxProbeBodyBytes is the maximum number of bytes that are read of the body of a response to a probe.
// After a longer body, the connection is closed.
const maxProbeBodyBytes = 4096

// probeBodyTimeout is the longest wait for the body of a response to a probe; after it, the connection
// is closed. The result of the probe depends only on the head. The body is read because the
// connection can be reused only after the end of the body.
const probeBodyTimeout = 10 * time.Millisecond

// errRedirect is returned for a redirect: probes must only contact the upstream itself.
var errRedirect = errors.New("probe response is a redirect, which is not followed")

func newProbeClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return errRedirect },
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: httphead.MaxBytes},
	}
}

// startProbe requests the health path of u on a new goroutine and submits the result as a job. gen is
// the generation of probes, as in Announce.probeGen.
func (a *Announce) startProbe(u Upstream, gen uint64) {
	if a.ctx.Err() != nil {
		return
	}
	go func() {
		began := a.c.Clock.Now()
		r := a.sendProbe("http://" + u.Address + u.HealthPath)
		duration := a.c.Clock.Now().Sub(began)
		a.c.Go(jobKey, func() { a.handleProbeResult(u, gen, r, duration) })
	}()
}

// sendProbe sends a GET request to url and returns the result.
func (a *Announce) sendProbe(url string) probeResult {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return probeNegative
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	defer resp.Body.Close()
	defer time.AfterFunc(probeBodyTimeout, cancel).Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusBadRequest {
		return probeNegative
	}
	return probeOK
}

// classifyError maps the error of a probe to its result. It distinguishes an upstream that does
// not respond in time from one that cannot be reached.
func classifyError(err error) probeResult {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errRedirect):
		return probeNegative
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return probeTimedOut
	}
	return probeRefused
}
