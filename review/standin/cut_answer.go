package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

const (
	uploads         = 20
	uploadBytes     = 24 << 20 // below the configuration's maxBodyBytes of 64 MiB
	uploadDeadline  = 5 * time.Second
	wholeAnswer     = 20_000 // bytes of the body of an answer
	partOfTheAnswer = 9_000  // bytes of it that are sent before the reset
)

// answerBody is the whole body of the answer to a request.
func answerBody(id string) []byte {
	return bytes.Repeat([]byte("answer to "+id+"\n"), wholeAnswer)[:wholeAnswer]
}

// earlyEndpoint plays an endpoint that answers before it has read a long body, and whose answers have
// no length and end with their connections.
type earlyEndpoint struct {
	*endpoint
	trouble  bool
	listener net.Listener

	mu    sync.Mutex
	reset map[string]bool // requests whose answer was reset on the way
}

func newEarlyEndpoint(m *machine, id string, trouble bool) (*earlyEndpoint, error) {
	l, err := net.Listen("tcp", m.address(m.p.ports.app))
	if err != nil {
		return nil, err
	}
	e := &earlyEndpoint{endpoint: &endpoint{m: m, id: id, born: time.Now().UnixMilli(), state: "ready"}, trouble: trouble, listener: l, reset: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e, nil
}

// serve answers one request.
func (e *earlyEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4096))
	if err != nil {
		return
	}
	id := r.Header.Get("X-Celeryyard-Attempt-Id")
	e.m.p.record.add(e.id, "runs %s, answers before it has read the body", id)
	body := answerBody(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Server-Stamp: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id, e.id, id)
	if !e.trouble {
		_, _ = c.Write(append([]byte(head), body...))
		_, _ = io.Copy(io.Discard, r.Body) // reads on, and ends the answer with its connection
		_ = c.CloseWrite()
		e.m.p.record.add(e.id, "has sent the whole answer to %s (%d bytes)", id, len(body))
		return
	}
	_, _ = c.Write(append([]byte(head), body[:partOfTheAnswer]...))
	time.Sleep(300 * time.Millisecond)
	e.mu.Lock()
	e.reset[id] = true
	e.mu.Unlock()
	e.m.p.record.add(e.id, "the connection of %s is reset after %d of %d bytes of the answer", id, partOfTheAnswer, len(body))
	_ = c.SetLinger(0)
}

// cutAnswer uploads long bodies to an endpoint whose answers are reset on the way.
func cutAnswer(rec *record, trouble bool) error {
	p, err := newPlatform(rec, []string{"catalogo", "taller"})
	if err != nil {
		return err
	}
	setActive(p)
	defer p.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	early, err := newEarlyEndpoint(p.nodes[0], "i-"+p.nodes[0].name, trouble)
	if err != nil {
		return err
	}
	defer func() { _ = early.listener.Close() }()
	other, err := newEndpoint(p.nodes[1], "i-"+p.nodes[1].name, func(string) time.Duration { return 0 })
	if err != nil {
		return err
	}
	defer func() { _ = other.server.Close() }()
	if err := p.startAll(); err != nil {
		return err
	}
	go early.beat(ctx)
	go other.beat(ctx)
	routes := []route{{name: "uploads", prefix: "/uploads/", kind: "unsafe", service: "catalogo", timeout: uploadDeadline, target: 2 * time.Second, priority: 1}}
	if err := p.configure(1, 0, routes, []string{"catalogo", "taller"}); err != nil {
		return err
	}
	if err := p.waitReady(startupTimeout); err != nil {
		return err
	}
	time.Sleep(beatInterval + 500*time.Millisecond)

	broken, served := 0, 0
	for range uploads {
		id := newID()
		status, stamp, body, err := upload(p.nodes[1], id)
		rec.add("client", "%s: status %d, stamp %q, %d bytes, error %v", id, status, stamp, len(body), err)
		if err != nil || status != http.StatusOK {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		served++
		if !bytes.Equal(body, answerBody(id)) {
			broken++
			rec.add("check", "MIXED: %s got a complete success with %d bytes, the endpoint's whole body has %d (its connection was reset: %t)", id, len(body), wholeAnswer, early.reset[id])
		}
	}
	rec.add("check", "%d of %d uploads were answered with 200, %d of these with a body that isn't the endpoint's whole body", served, uploads, broken)
	switch {
	case broken > 0:
		return errBroken
	case !trouble && served < uploads:
		return errors.New("an upload was not served without the disruption")
	}
	return nil
}

// upload sends one long request on a connection of its own and reads the answer while it sends.
func upload(m *machine, id string) (status int, stamp string, body []byte, err error) {
	c, err := net.DialTimeout("tcp", m.address(m.p.ports.outbound), time.Second)
	if err != nil {
		return 0, "", nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline + 300*time.Millisecond))
	go func() {
		head := fmt.Sprintf("PUT /uploads/1 HTTP/1.1\r\nHost: %s\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", routeHost, id, uploadDeadline.Milliseconds(), uploadBytes)
		if _, err := io.WriteString(c, head); err == nil {
			_, _ = c.Write(make([]byte, uploadBytes))
		}
	}()
	resp, err := httphead.NewReader(c, httphead.ExternalLimits).ReadResponse(&http.Request{Method: http.MethodPut})
	if err != nil {
		return 0, "", nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Celeryyard-Server-Stamp"), body, err
}
