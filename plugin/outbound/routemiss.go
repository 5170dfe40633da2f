package outbound

import (
	"fmt"
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// mayDenyRoute reports whether a node whose configuration has no route for a call may say so. age is how long ago the
// configuration is known to have been the newest one, and known is false if that was never known. A route that
// was accepted longer ago than convergeWithin must not be denied, and an older configuration may lack one.
func mayDenyRoute(age time.Duration, known bool, convergeWithin time.Duration) bool {
	return known && age <= convergeWithin
}

// respondRouteMiss answers a call for which the snapshot has no route: with 404 if the snapshot is current, else with
// 503, because callers do not send a call again after a 404.
func (c *call) respondRouteMiss(snapshot *resource.Snapshot) {
	o := c.o
	if o.configurationAge == nil {
		c.respondError(http.StatusNotFound, verdict.NotRun, "no route matches the request")
		return
	}
	age, known := o.configurationAge()
	// The age is that of the configuration in force, which may have replaced the snapshot meanwhile.
	if mayDenyRoute(age, known, o.s.ConvergeWithin.AsDuration()) && o.view.Current() == snapshot {
		o.routesDenied.Inc()
		c.respondError(http.StatusNotFound, verdict.NotRun, fmt.Sprintf("no route matches the request; configuration confirmed %d ms ago", age.Milliseconds()))
		return
	}
	o.routesUncertain.Inc()
	text := "no route matches the request, but the configuration was never confirmed"
	if known {
		text = fmt.Sprintf("no route matches the request, but the configuration was confirmed %d ms ago", age.Milliseconds())
	}
	c.respondError(http.StatusServiceUnavailable, verdict.NotRun, text)
}
