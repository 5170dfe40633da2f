package main

import (
	"fmt"
	"io"
	"time"
)

// patience is how long the operator sends the first configuration.
const patience = 60 * time.Second

// killAfter are the times from the first start of a deployment to the kill, each with a deployment of its own.
var killAfter = []time.Duration{250 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond}

// firstStart shows whether a deployment comes to life when all processes of the core are killed right after its first start
// and are back within a second, with their disks. It ends with the first deployment that doesn't.
func firstStart(record io.Writer, trouble bool) (int, string) {
	all := ""
	for _, after := range killAfter {
		code, seen := startAndKill(record, after, trouble)
		if trouble {
			seen = fmt.Sprintf("killed %v after the start: %s", after, seen)
		}
		all += seen + "; "
		if code != held {
			return code, all
		}
	}
	return held, all
}

func startAndKill(record io.Writer, after time.Duration, trouble bool) (int, string) {
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
	time.Sleep(after)
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
