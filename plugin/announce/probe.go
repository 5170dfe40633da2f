package announce

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// maxProbeBody bounds what is read of the answer to a probe.
const maxProbeBody = 4096

// probeDrain is how long a probe waits for the body of its answer. The head decides;
// only a body that is read to its end leaves the connection usable.
const probeDrain = 10 * time.Millisecond

// errRedirect keeps probes on the upstream itself.
var errRedirect = errors.New("probes follow no redirect")

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return errRedirect },
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: httphead.MaxBytes},
	}
}

// probe reads the health path on its own goroutine and submits the result as a job.
func (a *Announce) probe(u Upstream, probing uint64) {
	if a.ctx.Err() != nil {
		return
	}
	go func() {
		began := a.c.Clock.Now()
		r := a.get("http://" + u.Address + u.HealthPath)
		took := a.c.Clock.Now().Sub(began)
		a.c.Go(jobKey, func() { a.probed(u, probing, r, took) })
	}()
}

func (a *Announce) get(url string) result {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return probeNegative
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	defer time.AfterFunc(probeDrain, cancel).Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBody)
	if resp.StatusCode >= http.StatusBadRequest {
		return probeNegative
	}
	return probeOK
}

// classify tells an upstream that does not answer from one that is not there.
func classify(err error) result {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errRedirect):
		return probeNegative
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return probeLate
	}
	return probeRefused
}
