package outbound

import (
	"math"
	"sync"
	"time"
)

// maxTrackedRoutes bounds the number of routes with statistics. When a further route is added, the
// statistics of all routes are cleared.
const maxTrackedRoutes = 1024

// routeSmoothingFactor is the weight of a new sample in the moving averages of a route.
const routeSmoothingFactor = 0.05

// routeMeans holds the moving averages of the calls of one route.
type routeMeans struct {
	// seconds is the mean duration of a call. bytes is the mean length of a request and its response
	// together.
	seconds, bytes float64
}

// routeStats holds the averages of each route and of all routes together. The duration of a call is
// compared with the average of its route to find slow endpoints, and the average of a route with
// that of all routes to find the calls that leave the zone first.
type routeStats struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu      sync.Mutex
	byRoute map[string]routeMeans
}

// observe records an answered call and returns its duration divided by the mean of its route.
func (s *routeStats) observe(route string, took time.Duration, bytes int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := routeMeans{seconds: took.Seconds(), bytes: float64(bytes)}
	for _, name := range [...]string{route, allRoutes} {
		mean, known := s.byRoute[name]
		if !known {
			if len(s.byRoute) >= maxTrackedRoutes {
				clear(s.byRoute)
			}
			s.byRoute[name] = sample
			continue
		}
		s.byRoute[name] = routeMeans{
			seconds: mean.seconds + routeSmoothingFactor*(sample.seconds-mean.seconds),
			bytes:   mean.bytes + routeSmoothingFactor*(sample.bytes-mean.bytes),
		}
	}
	mean := s.byRoute[route].seconds
	if mean <= 0 {
		return 1
	}
	return sample.seconds / mean
}

// allRoutes is the key of the averages over all routes.
const allRoutes = ""

// meanDuration returns the mean duration of a route's calls; 0 if unknown.
func (s *routeStats) meanDuration(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.byRoute[route].seconds * float64(time.Second))
}

// Bounds and default of the spill load, the load of the best local endpoint above which calls may
// leave the zone.
const (
	minSpillLoad = 1.2
	maxSpillLoad = 6
	// defaultSpillLoad applies to routes without statistics, and to those whose calls transfer the
	// average number of bytes per second of their duration.
	defaultSpillLoad = 1.9
)

// setSpillLoad sets the spill load and the relative bytes of a call of the route in opts. Traffic
// between zones is expensive, so the calls that free the most slot time per byte leave the zone
// first.
func (s *routeStats) setSpillLoad(opts *pickOptions, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts.spillLoad = defaultSpillLoad
	r, all := s.byRoute[route], s.byRoute[allRoutes]
	if r.seconds <= 0 || all.bytes <= 0 || all.seconds <= 0 {
		return
	}
	opts.relativeBytes = (r.bytes / r.seconds) / (all.bytes / all.seconds)
	opts.spillLoad = min(max(defaultSpillLoad*math.Sqrt(opts.relativeBytes), minSpillLoad), maxSpillLoad)
}
