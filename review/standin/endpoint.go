package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// run is one request that an endpoint began to work on.
type run struct {
	id         string
	begin, end time.Time
	// outcome is "answered", "cut" (its connection was closed), "deadline" or "" while it works.
	outcome string
}

// endpoint plays the application beside a node, as PROTOCOL.md tells.
type endpoint struct {
	m    *machine
	id   string
	born int64
	// work returns how long a request takes.
	work   func(id string) time.Duration
	server *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	runs     []*run
	running  int
	slotFree *sync.Cond
}

func newEndpoint(m *machine, id string, work func(string) time.Duration) (*endpoint, error) {
	e := &endpoint{m: m, id: id, born: time.Now().UnixMilli(), work: work, state: "ready"}
	e.slotFree = sync.NewCond(&e.mu)
	l, err := net.Listen("tcp", m.address(m.p.ports.app))
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second, MaxHeaderBytes: httphead.MaxBytes}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// ServeHTTP runs a request, or states that it does not.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Celeryyard-Attempt-Id")
	h := w.Header()
	if id != "" {
		h.Set("X-Celeryyard-Attempt-Id", id)
	}
	if x := r.Header.Get("X-Celeryyard-Expected-Instance"); x != "" && x != e.id {
		e.m.p.record.add(e.id, "answers 421 to %s", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Celeryyard-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Celeryyard-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { e.mu.Lock(); e.slotFree.Broadcast(); e.mu.Unlock() })
	defer stop()
	e.mu.Lock()
	for e.running >= slots && ctx.Err() == nil {
		e.slotFree.Wait()
	}
	if ctx.Err() != nil {
		e.mu.Unlock()
		h.Set("X-Celeryyard-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	x := &run{id: id, begin: time.Now()}
	e.runs = append(e.runs, x)
	e.mu.Unlock()
	e.m.p.record.add(e.id, "runs %s", id)
	outcome := "answered"
	select {
	case <-time.After(e.work(id)):
	case <-ctx.Done():
		outcome = "cut"
		if r.Context().Err() == nil {
			outcome = "deadline"
		}
	}
	e.mu.Lock()
	x.end, x.outcome = time.Now(), outcome
	e.running--
	e.slotFree.Signal()
	e.mu.Unlock()
	e.m.p.record.add(e.id, "run of %s ends: %s", id, outcome)
	switch outcome {
	case "cut":
		panic(http.ErrAbortHandler)
	case "deadline":
		h.Set("X-Celeryyard-Server-Stamp", e.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		h.Set("X-Celeryyard-Server-Stamp", e.id+"."+id)
		fmt.Fprint(w, "answer to "+id)
	}
}

// findRun returns a copy of the run of a request, and false if there is none.
func (e *endpoint) findRun(id string) (run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.runs {
		if x.id == id {
			return *x, true
		}
	}
	return run{}, false
}

// runsAfter returns the requests that began later than t.
func (e *endpoint) runsAfter(t time.Time) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []run
	for _, x := range e.runs {
		if x.begin.After(t) {
			out = append(out, *x)
		}
	}
	return out
}

// nextBeat returns the body of the next heartbeat.
func (e *endpoint) nextBeat() (body string, sequence int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"concurrency":%d},"status":{"state":%q,"sequence":%d,"warmupLeft":"0ms"}}`,
		e.m.address(e.m.p.ports.app), e.born, e.m.service, e.m.zone, slots, e.state, e.sequence), e.sequence
}

// sendBeat sends a heartbeat and reports whether it was acknowledged within a second.
func (e *endpoint) sendBeat(body string) bool {
	return e.call(http.MethodPut, body)
}

// deregister sends DELETE and reports whether it was acknowledged.
func (e *endpoint) deregister() bool { return e.call(http.MethodDelete, "") }

func (e *endpoint) call(method, body string) bool {
	r, err := http.NewRequest(method, "http://"+e.m.address(e.m.p.ports.control)+"/celeryyard/instances/"+e.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: httphead.MaxBytes}}
	resp, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beat sends heartbeats until ctx ends.
func (e *endpoint) beat(ctx context.Context) {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		body, _ := e.nextBeat()
		e.sendBeat(body)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
