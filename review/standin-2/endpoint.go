package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// endpoint is a sound endpoint beside a node.
type endpoint struct {
	f        *fleet
	m        *machine
	id       string
	service  string
	born     int64
	work     time.Duration
	slow     map[string]time.Duration // work of requests by target, if it differs
	slots    int
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	sequence uint64
	runs     []run
	silent   bool
	dark     bool
}

// run is one run of a request.
type run struct {
	id, caller string
	at         time.Time
}

// newEndpoint starts an endpoint, which sends heartbeats from then on.
func newEndpoint(f *fleet, m *machine, id string, work time.Duration) (*endpoint, error) {
	e := &endpoint{f: f, m: m, id: id, service: m.service, born: time.Now().UnixMilli(), work: work, slots: 9}
	l, err := net.Listen("tcp", f.address(m, f.ports.app))
	if err != nil {
		return nil, err
	}
	e.server, e.listener = &http.Server{Handler: e, MaxHeaderBytes: httphead.MaxBytes}, l
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e, nil
}

// beat sends a heartbeat each 1.5 s.
func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		silent := e.silent
		e.mu.Unlock()
		pause := 1500 * time.Millisecond
		if !silent {
			if e.report("PUT", e.nextReport("ready"), false) != 200 {
				pause = 300 * time.Millisecond
			}
		}
		time.Sleep(pause)
	}
}

// nextReport returns the body of a heartbeat with the next sequence number.
func (e *endpoint) nextReport(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b, _ := json.Marshal(map[string]any{
		"address": e.f.address(e.m, e.f.ports.app), "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.m.zone, "concurrency": e.slots},
		"status": map[string]any{"state": state, "sequence": e.sequence, "warmupLeft": "0ms"},
	})
	return b
}

// report sends a heartbeat or a deregistration and returns the status; 0 without an answer within a second.
func (e *endpoint) report(method string, body []byte, noted bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+e.f.address(e.m, e.f.ports.control)+"/celeryyard/instances/"+e.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	status := 0
	resp, err := e.f.http.Do(r)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if noted {
		e.f.note("endpoint %s sends %s %s: answer %d", e.id, method, body, status)
	}
	return status
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Celeryyard-Attempt-Id")
	e.mu.Lock()
	dark := e.dark
	e.mu.Unlock()
	if dark {
		select {} // silent until the scenario ends
	}
	w.Header()["Date"] = nil
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Celeryyard-Instance-Id", e.id)
		return
	}
	if id != "" {
		w.Header().Set("X-Celeryyard-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Celeryyard-Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Celeryyard-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Celeryyard-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.begin(r, len(body))
	left, _ := strconv.Atoi(r.Header.Get("X-Celeryyard-Deadline-Ms"))
	work := e.work
	if w, ok := e.slow[r.RequestURI]; ok {
		work = w
	}
	if left > 0 {
		work = min(work, time.Duration(left)*time.Millisecond)
	}
	select {
	case <-r.Context().Done():
		e.f.note("endpoint %s ends its run of %s: the connection is closed", e.id, id)
		return
	case <-time.After(work):
	}
	answer := []byte("answer to " + id + "\n")
	w.Header().Set("X-Celeryyard-Server-Stamp", stamp(e.id, id))
	w.Header().Set("X-Celeryyard-Server-Load", fmt.Sprintf("1,0,%d", e.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func stamp(endpoint, id string) string { return endpoint + "." + id }

// begin records that the endpoint has begun to work on a request.
func (e *endpoint) begin(r *http.Request, bytes int) {
	id, caller := r.Header.Get("X-Celeryyard-Attempt-Id"), r.Header.Get("X-Celeryyard-Caller-Service")
	e.mu.Lock()
	e.runs = append(e.runs, run{id, caller, time.Now()})
	e.mu.Unlock()
	e.f.note("endpoint %s of %s runs %s %s %s with %d bytes, caller service %q", e.id, e.service, id, r.Method, r.RequestURI, bytes, caller)
}

// began returns the runs so far.
func (e *endpoint) began() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}
