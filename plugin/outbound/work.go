package outbound

import (
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// meanWork returns the expected duration of the call: with the choice by cost, its expected work without waiting times;
// otherwise, or if that is unknown, the mean duration of its route's calls. It is 0 if neither is known.
func (c *call) meanWork() time.Duration {
	if c.byCost {
		if mean := c.o.cost.Expect(c.cluster.Service, c.route.Name, c.r.ContentLength).Mean(); mean > 0 {
			return mean
		}
	}
	return c.o.routeStats.meanDuration(c.route.Name)
}

// learnWork records what a response states about the work of the call and of the endpoint.
func (c *call) learnWork(e *endpoint, r *http.Response) {
	if !c.byCost {
		return
	}
	w, ok := httpcall.ParseNodeWork(r.Header)
	if !ok {
		return
	}
	if work := c.o.table.observeWork(e, w, time.Now()); work > 0 && r.StatusCode < http.StatusInternalServerError {
		c.o.cost.Observe(c.cluster.Service, c.route.Name, c.r.ContentLength, work)
	}
}

// estimateOptions returns the options by which the endpoints that have rejected the call are compared.
func (c *call) estimateOptions() *pickOptions {
	if !c.byCost {
		return &pickOptions{}
	}
	return &pickOptions{byCost: true, work: c.meanWork()}
}
