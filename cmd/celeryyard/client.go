package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/kernel"
)

const (
	// attemptTimeout bounds one request, so that there is time left for the next server if one does
	// not respond. It is longer than the 10 s that servers wait for a decision by default.
	attemptTimeout = 12 * time.Second
	// dialTimeout bounds the time to connect to a server. After it, the next server is tried.
	dialTimeout = 2 * time.Second
	// minBackoff is the backoff after one request to each server has failed. It doubles each time that
	// a further request to each server has failed.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the upper limit of the backoff.
	maxBackoff = 2 * time.Second
	// maxResponseBytes bounds a response. The rest of a longer response is ignored, so that decoding
	// it fails. A page of 1,000 records has less than 1 MiB.
	maxResponseBytes = 64 << 20
	// maxTokenFileBytes is how much of the token file is read; the rest is ignored.
	maxTokenFileBytes = 4096
)

// client sends each request to one control instance, and to the next one if the request fails.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	http    *http.Client
	// currentServer is the index of the server to which the next request is sent.
	currentServer int
}

// response is the response of one server.
type response struct {
	server string
	code   int
	body   []byte
}

func newClient(f *globalFlags) (*client, error) {
	c := &client{servers: f.Server}
	if len(c.servers) == 0 {
		return nil, newExitErrorf(kernel.ExitUsage, "--server is required")
	}
	for _, s := range c.servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, newExitErrorf(kernel.ExitUsage, "--server: %q is not IP:port", s)
		}
	}
	var err error
	if c.timeout, err = time.ParseDuration(f.Timeout); err != nil || c.timeout <= 0 {
		return nil, newExitErrorf(kernel.ExitUsage, "--timeout: %q is not a duration such as 30s", f.Timeout)
	}
	if f.TokenFile == "" {
		return nil, newExitErrorf(kernel.ExitUsage, "--token-file is required")
	}
	file, err := os.Open(f.TokenFile)
	if err != nil {
		return nil, newExitErrorf(kernel.ExitUsage, "--token-file: %v", err)
	}
	defer file.Close()
	token, err := io.ReadAll(io.LimitReader(file, maxTokenFileBytes))
	if err != nil {
		return nil, newExitErrorf(kernel.ExitUsage, "--token-file: %v", err)
	}
	c.token = strings.TrimSpace(string(token))
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, Proxy: nil, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: httphead.MaxBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// send sends one request to the current server.
func (c *client) send(ctx context.Context, method, path string, body []byte) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := c.servers[c.currentServer]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, server)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, server)
	}
	return &response{server: server, code: r.StatusCode, body: b}, nil
}

// useNextServer switches to the next server.
func (c *client) useNextServer() { c.currentServer = (c.currentServer + 1) % len(c.servers) }

// waitForNextAttempt switches to the next server. After each round over all servers, it also waits for
// a random time between half of the backoff and the full backoff. It returns false if ctx has ended.
func (c *client) waitForNextAttempt(ctx context.Context, attempt int) bool {
	c.useNextServer()
	if (attempt+1)%len(c.servers) != 0 {
		return ctx.Err() == nil
	}
	backoff := maxBackoff
	if round := attempt / len(c.servers); round < 5 {
		backoff = min(minBackoff<<round, maxBackoff)
	}
	t := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// get fetches path and decodes the response into dst. It uses the first response with current data.
// After one attempt at each server, or when ctx ends, it also uses a response with stale data.
func (c *client) get(ctx context.Context, path string, dst any) ([]byte, error) {
	var staleResponse *response
	var lastErr error
	for attempt := 0; ; attempt++ {
		r, err := c.send(ctx, http.MethodGet, path, nil)
		switch {
		case err != nil:
			lastErr = err
		case r.code >= 500:
			lastErr = r.toError()
		case r.code != http.StatusOK:
			return nil, r.toError()
		case r.isStale():
			staleResponse = r
		default:
			return r.decode(dst)
		}
		if staleResponse != nil && attempt+1 >= len(c.servers) {
			return staleResponse.decode(dst)
		}
		if !c.waitForNextAttempt(ctx, attempt) {
			break
		}
	}
	if staleResponse != nil {
		return staleResponse.decode(dst)
	}
	return nil, errors.Wrap(lastErr, "no server answered in time")
}

func (r *response) decode(dst any) ([]byte, error) {
	return r.body, errors.Wrapf(json.Unmarshal(r.body, dst), "%s: response", r.server)
}

// isStale reports whether the server could not confirm that its data is current.
func (r *response) isStale() bool {
	var f freshness
	return json.Unmarshal(r.body, &f) == nil && f.Stale
}

// toError returns the error that a response reports.
func (r *response) toError() error {
	var f struct {
		Error string `json:"error"`
		Text  string `json:"text"`
	}
	if json.Unmarshal(r.body, &f) != nil || f.Error+f.Text == "" {
		f.Error = http.StatusText(r.code)
	}
	return errors.Newf("%s: status %d: %s%s", r.server, r.code, f.Error, f.Text)
}
