package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Uploads at the same time, their size and the time that a client takes to send one.
const (
	uploads     = 16
	uploadBytes = 600_000
	uploadTime  = 1500 * time.Millisecond
)

// rounds is the number of times that clients send uploads; the disruption comes in the second one.
const rounds = 3

// cutUpload shows how clients are answered whose long requests are on their way to an endpoint whose node is killed.
func cutUpload(record io.Writer, trouble bool) (int, string) {
	f, list, err := begin(record, 50*time.Millisecond, "svc-a", "svc-a", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	ends := map[int]int{}
	for round := range rounds {
		wait := f.upload(f.sidecars()[2], ends)
		time.Sleep(uploadTime / 2)
		if trouble && round == 1 {
			f.kill(list[0].m)
			time.Sleep(300 * time.Millisecond)
			if err := f.start(list[0].m); err != nil {
				return failed, err.Error()
			}
		}
		wait()
		time.Sleep(time.Second)
	}
	return judgeDenied(ends)
}

// judgeDenied applies the rule DENIED to the numbers of answers by status.
func judgeDenied(ends map[int]int) (int, string) {
	total, denied := 0, 0
	for status, n := range ends {
		total += n
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied += n
		}
	}
	seen := fmt.Sprintf("answers by status %v to %d proper requests; %d were ended with a 4xx, the rule allows 5 and one in 500", ends, total, denied)
	switch {
	case ends[200] == 0:
		return failed, seen
	case denied*500 > 5*500+total:
		return broken, seen
	}
	return held, seen
}

// upload starts the uploads of one round. The returned function waits for their ends and counts them by status.
func (f *fleet) upload(m *machine, ends map[int]int) (wait func()) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range uploads {
		wg.Go(func() {
			a := f.slowUpload(m)
			mu.Lock()
			defer mu.Unlock()
			ends[a.status]++
		})
	}
	return wg.Wait
}

// slowUpload sends one order with a long body, in parts, and notes its answer.
func (f *fleet) slowUpload(m *machine) answer {
	id, began := newID(), time.Now()
	a := f.sendParts(m, id)
	f.note("client at %s sends %s POST /upload/1 with %d bytes: status %d %q, stamp %q, %v, after %d ms", m.name, id, uploadBytes, a.status, a.body, a.stamp, a.err, time.Since(began).Milliseconds())
	return a
}

func (f *fleet) sendParts(m *machine, id string) answer {
	nc, err := net.DialTimeout("tcp", f.address(m, f.ports.outbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	got := make(chan answer, 1)
	go func() { got <- readAnswer(nc, "POST") }()
	head := fmt.Sprintf("POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
	if _, err := io.WriteString(nc, head); err != nil {
		return answer{err: err}
	}
	body, parts := make([]byte, uploadBytes), 30
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	for i := range parts {
		if _, err := nc.Write(body[i*uploadBytes/parts : (i+1)*uploadBytes/parts]); err != nil {
			break // the answer tells
		}
		select {
		case a := <-got:
			return a
		case <-time.After(uploadTime / time.Duration(parts)):
		}
	}
	return <-got
}
