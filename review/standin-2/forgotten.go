package main

import (
	"fmt"
	"io"
	"time"
)

// drain is the bound of the pages.
const drain = 2 * time.Second

// forgottenEnd shows whether the acknowledged end of an endpoint outlives the end of all processes that were told of it. A
// heartbeat that the endpoint sent before its end arrives seconds late.
func forgottenEnd(record io.Writer, trouble bool) (int, string) {
	f, list, err := begin(record, 20*time.Millisecond, "svc-a", "svc-a", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	e := list[0]
	e.silence()
	late := e.nextReport("ready")
	f.note("endpoint %s sends a heartbeat, which is delayed: %s", e.id, late)
	time.Sleep(100 * time.Millisecond)
	status := 0
	for i := 0; i < 10 && status != 200; i++ {
		status = e.report("DELETE", nil, true)
	}
	if status != 200 {
		return failed, "the end of the endpoint was not acknowledged"
	}
	acked := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		victims := append(f.cores(), e.m)
		f.kill(victims...)
		time.Sleep(500 * time.Millisecond)
		for _, m := range victims {
			if err := f.start(m); err != nil {
				return failed, err.Error()
			}
		}
	}
	restarted := time.Now()
	time.Sleep(2500 * time.Millisecond)
	f.note("the delayed heartbeat arrives")
	got := e.report("PUT", late, true)
	time.Sleep(time.Until(restarted.Add(inTouch)))
	f.note("all machines are in touch")
	from, sent, answered := time.Now(), 0, 0
	for time.Since(from) < 4*time.Second {
		for _, m := range f.sidecars()[1:] {
			for _, a := range []answer{
				f.send(m, "GET", "shop.example", "/lookup/1", newID(), "", time.Second),
				f.send(m, "POST", "shop.example", "/order/1", newID(), "abc", time.Second),
			} {
				sent++
				if a.status == 200 {
					answered++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	reached := 0
	for _, r := range e.began() {
		if r.at.After(from) && r.at.After(acked.Add(drain)) {
			reached++
		}
	}
	seen := fmt.Sprintf("the delayed heartbeat was answered %d; of %d requests %d were answered 200; %d reached the endpoint later than %v after its end was acknowledged",
		got, sent, answered, reached, drain)
	switch {
	case answered == 0:
		return failed, seen
	case reached > 0:
		return broken, seen
	}
	return held, seen
}
