package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// grace and lossSlack are bounds of the pages.
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	// reportWork is the work of a report, which holds a slot.
	reportWork = 8 * time.Second
)

// queuedAtStop shows how requests end that wait for a slot when the node that took them is stopped as planned.
func queuedAtStop(record io.Writer, trouble bool) (int, string) {
	f, list, err := begin(record, 30*time.Millisecond, "svc-a", "svc-b", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	m := f.sidecars()[2]
	list[0].slow = map[string]time.Duration{"/report/1": reportWork}
	for range 30 {
		f.send(m, "POST", "shop.example", "/booking/1", newID(), "abc", 10*time.Second)
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	for range list[0].slots {
		wg.Go(func() { f.send(f.sidecars()[1], "GET", "shop.example", "/report/1", newID(), "", 11*time.Second) })
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.signal(m, syscall.SIGTERM)
	}
	stopped := time.Now()
	time.Sleep(time.Second)
	var mu sync.Mutex
	ends, lost := map[int]int{}, 0
	for range 5 {
		wg.Go(func() {
			a := f.send(m, "POST", "shop.example", "/booking/1", newID(), "abc", 10*time.Second)
			mu.Lock()
			defer mu.Unlock()
			ends[a.status]++
			if a.status == 0 && a.took > lossSlack && a.took < 9*time.Second && time.Since(stopped) < grace+time.Second {
				lost++
			}
		})
	}
	if trouble {
		select {
		case <-m.exited:
			f.note("the process of %s has ended %v after SIGTERM", m.name, time.Since(stopped).Round(time.Millisecond))
		case <-time.After(time.Until(stopped.Add(grace))):
			f.kill(m)
		}
	}
	wg.Wait()
	seen := fmt.Sprintf("answers by status %v (0 is none) to requests sent 1 s after SIGTERM; %d connections ended without an answer", ends, lost)
	if lost > 0 {
		return broken, seen
	}
	return held, seen
}
