package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

const (
	// volumeBytes is the length of the answers of the service that hands out whole volumes.
	volumeBytes = 400 << 10
	// brokenOneIn is the number of answers of which a faulty endpoint breaks one off.
	brokenOneIn = 20
)

// playPipelined lets clients send a second safe request before the first one is answered. Half of the endpoints of
// the first one's service break off one in brokenOneIn of their answers. The rule LOST is broken if more than three
// of the second requests reach a sound endpoint and get no answer, because their connection ends.
func playPipelined(w *world, trouble bool) (bool, error) {
	const volumes, status = "volumes", "status"
	routes := []map[string]any{newRoute("/volumes/", volumes), newRoute("/status/", status)}
	for _, r := range routes {
		r["routeKind"] = "safe"
	}
	if err := w.begin([]string{volumes, volumes, status, status}, newConfiguration("r1", "r0", []string{volumes, status}, routes...)); err != nil {
		return false, err
	}
	var sound []*endpoint
	for i, m := range w.nodes() {
		e, err := startEndpoint(m, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		if m.service == status {
			e.work = 60 * time.Millisecond
			sound = append(sound, e)
			continue
		}
		e.bodyBytes = volumeBytes
		if trouble && i == 0 {
			e.breakOneIn = brokenOneIn
		}
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	pairs, unanswered, cut := 0, map[string]bool{}, 0
	until := time.Now().Add(8 * time.Second)
	for _, m := range w.nodes() {
		for n := range 2 {
			wg.Go(func() {
				p := &pipe{address: m.address(offsetOutbound)}
				defer p.close()
				for i := 0; time.Now().Before(until); i++ {
					id := fmt.Sprintf("%s-%d-%d", m.name, n, i)
					w.rec.logf("client at %s sends GET /volumes/%s (%s-v) and GET /status/%s (%s-s) at once", m.name, id, id, id, id)
					first, second := p.ask("/volumes/"+id, id+"-v", "/status/"+id, id+"-s")
					w.rec.logf("client at %s gets %d for %s-v and %d for %s-s; 0 means none, or none that is whole", m.name, first, id, second, id)
					mu.Lock()
					pairs++
					if first == 0 {
						cut++
					}
					if second == 0 {
						unanswered[id+"-s"] = true
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	lost := 0
	for _, e := range sound {
		for _, a := range e.arrivalsAfter(time.Time{}) {
			if unanswered[a.id] {
				if lost++; lost <= 10 {
					w.rec.logf("request %s reached the sound endpoint %s at %.3f, and its connection ended without an answer", a.id, e.id, w.rec.at(a.at))
				}
			}
		}
	}
	w.rec.logf("%d pairs; first answers broken off: %d; second requests without an answer: %d, of which %d reached a sound endpoint", pairs, cut, len(unanswered), lost)
	return lost > 3, nil
}

// pipe is a kept connection of a client that sends two requests at once.
type pipe struct {
	address string
	conn    net.Conn
	reader  *httphead.Reader
}

func (p *pipe) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// ask sends two requests and returns the statuses of their answers; 0 stands for one that is missing or incomplete.
func (p *pipe) ask(firstPath, firstID, secondPath, secondID string) (first, second int) {
	if p.conn == nil {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			return 0, 0
		}
		p.conn, p.reader = c, httphead.NewReader(c, httphead.ExternalLimits)
	}
	_ = p.conn.SetDeadline(time.Now().Add(3 * time.Second))
	var b strings.Builder
	for _, r := range [2][2]string{{firstPath, firstID}, {secondPath, secondID}} {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: 2000\r\n\r\n", r[0], routeHost, r[1])
	}
	if _, err := io.WriteString(p.conn, b.String()); err != nil {
		p.close()
		return 0, 0
	}
	var out [2]int
	for i := range out {
		r, err := p.reader.ReadResponse(nil)
		if err != nil {
			p.close()
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			p.close()
			break
		}
		if out[i] = r.StatusCode; r.Close {
			p.close()
			break
		}
	}
	return out[0], out[1]
}
