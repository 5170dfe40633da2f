package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client gets for one attempt.
type answer struct {
	status int    // 0 without an answer
	id     string // the attempt ID in the answer
	stamp  string
	body   string
	err    error
	took   time.Duration
}

// send sends one attempt of a client on a new connection and notes it.
func (f *fleet) send(m *machine, method, host, path, id, body string, deadline time.Duration) answer {
	began := time.Now()
	a := f.exchange(m, method, host, path, id, body, deadline)
	a.took = time.Since(began)
	f.note("client at %s sends %s %s %s: status %d, stamp %q, %v, after %d ms", m.name, id, method, path, a.status, a.stamp, a.err, a.took.Milliseconds())
	return a
}

func (f *fleet) exchange(m *machine, method, host, path, id, body string, deadline time.Duration) answer {
	nc, err := net.DialTimeout("tcp", f.address(m, f.ports.outbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != "" || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(nc, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	return readAnswer(nc, method)
}

// readAnswer reads the answer to a request from a connection.
func readAnswer(nc net.Conn, method string) answer {
	resp, err := httphead.NewReader(nc, httphead.ExternalLimits).ReadResponse(&http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, id: resp.Header.Get("X-Celeryyard-Attempt-Id"), stamp: resp.Header.Get("X-Celeryyard-Server-Stamp"), body: strings.TrimSpace(string(b)), err: err}
}
