package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

const heartbeatInterval = 1500 * time.Millisecond

// endpoint is the application endpoint beside a node. It reports itself, runs requests and records them.
type endpoint struct {
	m       *machine
	service string
	id      string
	born    int64
	work    time.Duration
	// bodyBytes is the length of the answers; 0 for a short one. One in breakOneIn of them is broken off; 0 for none.
	bodyBytes, breakOneIn int

	mu       sync.Mutex
	sequence uint64
	state    string
	arrivals []arrival
	server   *http.Server
	stop     chan struct{}
}

// arrival is a request that has reached the endpoint and was not answered with 421.
type arrival struct {
	id string
	at time.Time
}

// startEndpoint starts an endpoint of the machine's service.
func startEndpoint(m *machine, work time.Duration) (*endpoint, error) {
	e := &endpoint{m: m, service: m.service, id: "i-" + m.name + "-" + m.service, born: time.Now().UnixMilli(), work: work, state: "ready", stop: make(chan struct{})}
	l, err := net.Listen("tcp", m.address(offsetApp))
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: httphead.MaxBytes}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e, nil
}

// ServeHTTP runs a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Celeryyard-Attempt-Id")
	w.Header().Set("X-Celeryyard-Attempt-Id", id)
	if r.Header.Get("X-Celeryyard-Expected-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	breakOff := e.breakOneIn > 0 && len(e.arrivals)%e.breakOneIn == 0
	e.mu.Unlock()
	e.m.w.rec.logf("%s runs %s %s %s, caller service %s", e.id, id, r.Method, r.URL.EscapedPath(), r.Header.Get("X-Celeryyard-Caller-Service"))
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.m.w.rec.logf("%s: the connection of %s has ended while it ran", e.id, id)
		return
	}
	w.Header().Set("X-Celeryyard-Server-Stamp", e.id+"."+id)
	if e.bodyBytes == 0 {
		_, _ = fmt.Fprintf(w, "done %s\n", id)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(e.bodyBytes))
	if breakOff {
		e.m.w.rec.logf("%s breaks off its answer to %s", e.id, id)
		_, _ = w.Write(make([]byte, e.bodyBytes*3/4))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(make([]byte, e.bodyBytes))
}

// heartbeat returns the body of a heartbeat with the given service, state and sequence.
func (e *endpoint) heartbeat(service, state string, sequence uint64) []byte {
	b, _ := json.Marshal(map[string]any{
		"address": e.m.address(offsetApp), "born": e.born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": e.m.zone, "concurrency": 9},
		"status": map[string]any{"state": state, "sequence": sequence, "warmupLeft": "0ms"},
	})
	return b
}

// send sends a report to the endpoint's own node and returns the status; 0 if there is no answer in a second.
func (e *endpoint) send(method, id string, body []byte) int {
	r, err := http.NewRequest(method, "http://"+e.m.address(offsetControl)+"/celeryyard/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// report sends the next heartbeat and reports whether it was acknowledged.
func (e *endpoint) report() bool {
	sequence := e.nextSequence()
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	status := e.send(http.MethodPut, e.id, e.heartbeat(e.service, state, sequence))
	e.m.w.rec.logf("heartbeat of %s: service %s, state %s, sequence %d -> %d", e.id, e.service, state, sequence, status)
	return status/100 == 2
}

func (e *endpoint) beat() {
	for {
		e.report()
		select {
		case <-time.After(heartbeatInterval):
		case <-e.stop:
			return
		}
	}
}

// drain reports that the endpoint drains until that is acknowledged, and returns the time of the acknowledgement.
func (e *endpoint) drain() (time.Time, bool) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for range 10 {
		if e.report() {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// leave deregisters the endpoint and ends it.
func (e *endpoint) leave() {
	close(e.stop)
	status := e.send(http.MethodDelete, e.id, e.heartbeat(e.service, "draining", e.nextSequence()))
	e.m.w.rec.logf("%s deregisters -> %d, and exits", e.id, status)
	e.end()
}

// end ends the process of the endpoint, which no longer reports itself.
func (e *endpoint) end() { _ = e.server.Close() }

// nextSequence returns the number of the next report.
func (e *endpoint) nextSequence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

// arrivalsAfter returns the requests that reached the endpoint later than t.
func (e *endpoint) arrivalsAfter(t time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []arrival
	for _, a := range e.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}
