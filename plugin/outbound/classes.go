package outbound

import (
	"math"
	"sync"
	"time"
)

// maxClasses bounds the table of durations.
const maxClasses = 1024

// classWeight is the part of a new duration in the smoothed one of its class.
const classWeight = 0.05

// usage is the smoothed need of the calls of one route.
type usage struct {
	// seconds is the duration, bytes the length of request and answer.
	seconds, bytes float64
}

// classes holds the need of the calls of each route, against which the durations
// at one endpoint and the routes of one service are compared.
type classes struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu    sync.Mutex
	means map[string]usage
}

// observe takes an answered call and returns its duration relative to the usual
// one of its route.
func (c *classes) observe(route string, took time.Duration, bytes int64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := usage{seconds: took.Seconds(), bytes: float64(bytes)}
	for _, name := range [...]string{route, allRoutes} {
		mean, known := c.means[name]
		if !known {
			if len(c.means) >= maxClasses {
				clear(c.means)
			}
			c.means[name] = now
			continue
		}
		c.means[name] = usage{
			seconds: mean.seconds + classWeight*(now.seconds-mean.seconds),
			bytes:   mean.bytes + classWeight*(now.bytes-mean.bytes),
		}
	}
	mean := c.means[route].seconds
	if mean <= 0 {
		return 1
	}
	return now.seconds / mean
}

// allRoutes is the entry of the calls of all routes.
const allRoutes = ""

// mean returns the smoothed duration of a route's calls; 0 when unknown.
func (c *classes) mean(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.means[route].seconds * float64(time.Second))
}

// Bounds of the load at which calls leave the zone.
const (
	spillLeast = 1.2
	spillMost  = 6
	// spillUsual is that of calls with the usual number of bytes for their duration.
	spillUsual = 1.9
)

// spill states in w when a call of the route leaves the zone. Bytes between zones are
// dear, so the calls that free most of a slot's time for each byte leave first.
func (c *classes) spill(w *wish, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.spillAt = spillUsual
	r, all := c.means[route], c.means[allRoutes]
	if r.seconds <= 0 || all.bytes <= 0 || all.seconds <= 0 {
		return
	}
	w.bytes = (r.bytes / r.seconds) / (all.bytes / all.seconds)
	w.spillAt = min(max(spillUsual*math.Sqrt(w.bytes), spillLeast), spillMost)
}
