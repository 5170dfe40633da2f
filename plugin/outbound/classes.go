package outbound

import (
	"sync"
	"time"
)

// maxClasses bounds the table of durations.
const maxClasses = 1024

// classWeight is the part of a new duration in the smoothed one of its class.
const classWeight = 0.05

// classes holds the smoothed duration of the calls of each route, against which
// the durations at one endpoint are compared.
type classes struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu    sync.Mutex
	means map[string]float64
}

// observe takes the duration of an answered call and returns it relative to the
// usual one of its route.
func (c *classes) observe(route string, took time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := took.Seconds()
	mean, known := c.means[route]
	if !known {
		if len(c.means) >= maxClasses {
			clear(c.means)
		}
		c.means[route] = s
		return 1
	}
	c.means[route] = mean + classWeight*(s-mean)
	if mean <= 0 {
		return 1
	}
	return s / mean
}

// mean returns the smoothed duration of a route's calls; 0 when unknown.
func (c *classes) mean(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.means[route] * float64(time.Second))
}
