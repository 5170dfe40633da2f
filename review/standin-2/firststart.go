package main

import (
	"fmt"
	"io"
	"time"
)

const (
	// killAfter is the time from the first start to the kill.
	killAfter = 250 * time.Millisecond
	// patience is how long the operator sends the first configuration.
	patience = 60 * time.Second
)

// firstStart shows whether a deployment comes to life when all processes of the core are killed right after its first start
// and are back within a second, with their disks.
func firstStart(record io.Writer, trouble bool) (int, string) {
	f, err := newFleet(record, "svc-a", "svc-a", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return failed, err.Error()
	}
	f.first = false
	for i, m := range f.sidecars() {
		if _, err := newEndpoint(f, m, fmt.Sprintf("i-%02d", i+1), 20*time.Millisecond); err != nil {
			return failed, err.Error()
		}
	}
	time.Sleep(killAfter)
	if trouble {
		f.kill(f.cores()...)
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.cores() {
			if err := f.start(m); err != nil {
				return failed, err.Error()
			}
		}
	}
	back := time.Now()
	status := f.order(configuration(3, 0, plainServices, plainRoutes...), patience)
	took := time.Since(back).Round(10 * time.Millisecond)
	f.note("operator: the first configuration got %d after %v", status, took)
	served, refused, sent := 0, 0, 0
	for range 20 {
		for _, m := range f.sidecars() {
			a := f.send(m, "GET", "shop.example", "/lookup/1", newID(), "", time.Second)
			sent++
			switch a.status {
			case 200:
				served++
			case 503:
				refused++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	seen := fmt.Sprintf("the first configuration got %d after %v; of %d requests %d were served and %d refused", status, took, sent, served, refused)
	if served == 0 {
		return broken, seen
	}
	return held, seen
}
