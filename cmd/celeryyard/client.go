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
	// attemptTimeout bounds one request, so that a silent server leaves time for the
	// next one. It is above the servers' default wait for a decision of 10 s.
	attemptTimeout = 12 * time.Second
	dialTimeout    = 2 * time.Second
	// minPause and maxPause bound the pause after all servers failed once.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// maxResponse bounds a response; a page of 1,000 records has below 1 MiB.
	maxResponse = 64 << 20
	// maxTokenFile bounds the token file.
	maxTokenFile = 4096
)

// client sends requests to the control instances in turn.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	http    *http.Client
	// current is the index of the server that answered last.
	current int
}

// response is the answer of one server.
type response struct {
	server string
	code   int
	body   []byte
}

func newClient(f *globalFlags) (*client, error) {
	c := &client{servers: f.Server}
	if len(c.servers) == 0 {
		return nil, exitf(kernel.ExitUsage, "--server is required")
	}
	for _, s := range c.servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, exitf(kernel.ExitUsage, "--server: %q is not IP:port", s)
		}
	}
	var err error
	if c.timeout, err = time.ParseDuration(f.Timeout); err != nil || c.timeout <= 0 {
		return nil, exitf(kernel.ExitUsage, "--timeout: %q is not a duration such as 30s", f.Timeout)
	}
	if f.TokenFile == "" {
		return nil, exitf(kernel.ExitUsage, "--token-file is required")
	}
	file, err := os.Open(f.TokenFile)
	if err != nil {
		return nil, exitf(kernel.ExitUsage, "--token-file: %v", err)
	}
	defer file.Close()
	token, err := io.ReadAll(io.LimitReader(file, maxTokenFile))
	if err != nil {
		return nil, exitf(kernel.ExitUsage, "--token-file: %v", err)
	}
	c.token = strings.TrimSpace(string(token))
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, Proxy: nil, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: httphead.MaxBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// send makes one attempt at the current server.
func (c *client) send(ctx context.Context, method, path string, body []byte) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := c.servers[c.current]
	q, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	r, err := c.http.Do(q)
	if err != nil {
		return nil, errors.Wrap(err, server)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
	if err != nil {
		return nil, errors.Wrap(err, server)
	}
	return &response{server: server, code: r.StatusCode, body: b}, nil
}

// skip moves on to another server.
func (c *client) skip() { c.current = (c.current + 1) % len(c.servers) }

// next moves on to another server. After each round over all of them it waits,
// longer after each round. It returns false when ctx ends.
func (c *client) next(ctx context.Context, attempt int) bool {
	c.skip()
	if (attempt+1)%len(c.servers) != 0 {
		return ctx.Err() == nil
	}
	pause := maxPause
	if round := attempt / len(c.servers); round < 5 {
		pause = min(minPause<<round, maxPause)
	}
	t := time.NewTimer(pause/2 + rand.N(pause/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// get reads path and fills into from it. It takes the first answer that is
// current, or a stale one when each server was asked once.
func (c *client) get(ctx context.Context, path string, into any) ([]byte, error) {
	var stale *response
	var last error
	for attempt := 0; ; attempt++ {
		r, err := c.send(ctx, http.MethodGet, path, nil)
		switch {
		case err != nil:
			last = err
		case r.code >= 500:
			last = r.failure()
		case r.code != http.StatusOK:
			return nil, r.failure()
		case r.stale():
			stale = r
		default:
			return r.decode(into)
		}
		if stale != nil && attempt+1 >= len(c.servers) {
			return stale.decode(into)
		}
		if !c.next(ctx, attempt) {
			break
		}
	}
	if stale != nil {
		return stale.decode(into)
	}
	return nil, errors.Wrap(last, "no server answered in time")
}

func (r *response) decode(into any) ([]byte, error) {
	return r.body, errors.Wrapf(json.Unmarshal(r.body, into), "%s: response", r.server)
}

// stale reports whether the server could not confirm that its data is current.
func (r *response) stale() bool {
	var f freshness
	return json.Unmarshal(r.body, &f) == nil && f.Stale
}

// failure returns the error that a response states.
func (r *response) failure() error {
	var f struct {
		Error string `json:"error"`
		Text  string `json:"text"`
	}
	if json.Unmarshal(r.body, &f) != nil || f.Error+f.Text == "" {
		f.Error = http.StatusText(r.code)
	}
	return errors.Newf("%s: status %d: %s%s", r.server, r.code, f.Error, f.Text)
}
