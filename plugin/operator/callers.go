package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/quota"
)

// callersView is the body of GET /v1/callers.
type callersView struct {
	freshness
	Teams []callerUse `json:"teams"`
	// Silent lists the control instances that did not answer; the use at them is missing.
	Silent []string `json:"silent_instances,omitempty"`
}

// callerView is a calling team of the configuration in force, without its keys.
type callerView struct {
	Name     string `json:"name"`
	Keys     int    `json:"keys"`
	Priority int    `json:"priority"`
	// RatePerSecond and Burst are the limit; 0 means none.
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
}

// callerUse is a calling team with the use of its limit. Without a limit, its requests are not counted.
type callerUse struct {
	callerView
	// Demand is the recent number of requests per second, including refused ones. Admitted is the recent number of requests per
	// second that nodes were permitted.
	Demand   float64      `json:"demand_per_s"`
	Admitted float64      `json:"admitted_per_s"`
	Shares   []shareOfUse `json:"shares,omitempty"`
}

// shareOfUse is the part of a limit that a control instance holds.
type shareOfUse struct {
	Instance      string  `json:"instance"`
	RatePerSecond float64 `json:"rate_per_s"`
	Demand        float64 `json:"demand_per_s"`
	Admitted      float64 `json:"admitted_per_s"`
}

func newCallerView(c *resource.Caller) callerView {
	v := callerView{Name: c.Name, Keys: len(c.KeyDigests), RatePerSecond: c.RatePerSecond, Burst: c.Burst}
	if c.Priority != nil {
		v.Priority = *c.Priority
	}
	return v
}

// newCallersView combines the calling teams of a configuration, which may be nil, with their use at all instances.
func newCallersView(f freshness, c *resource.Configuration, uses []quota.InstanceUse) callersView {
	v := callersView{freshness: f, Teams: []callerUse{}}
	if c == nil {
		return v
	}
	positions := map[string]int{}
	for _, caller := range c.ExpandCallers() {
		positions[caller.Name] = len(v.Teams)
		v.Teams = append(v.Teams, callerUse{callerView: newCallerView(caller)})
	}
	for _, u := range uses {
		if !u.Reachable {
			v.Silent = append(v.Silent, u.Instance)
		}
		for _, use := range u.Teams {
			if i, ok := positions[use.Team]; ok {
				v.Teams[i].add(u.Instance, use)
			}
		}
	}
	return v
}

func (t *callerUse) add(instance string, u peerapi.TeamUse) {
	t.Demand += u.Demand
	t.Admitted += u.Admitted
	t.Shares = append(t.Shares, shareOfUse{Instance: instance, RatePerSecond: u.Rate, Demand: u.Demand, Admitted: u.Admitted})
}

// getCallers responds with the calling teams and the use of their limits. Like getStatus, it does not wait for a barrier, so
// that an isolated instance shows what it knows.
func (o *Operator) getCallers(e echo.Context) error {
	return o.serveJob(e, 2*o.s.ReadTimeout.AsDuration(), timeoutResponse, func(reply func(response)) {
		respond := func(uses []quota.InstanceUse) {
			reply(response{http.StatusOK, newCallersView(o.newFreshness(o.isIsolated()), o.catalog.Configuration(), uses)})
		}
		if o.quota == nil {
			respond(nil)
			return
		}
		o.quota.Usage(o.s.ReadTimeout.AsDuration(), respond)
	})
}

// findCaller returns the calling team with a name in the configuration in force, or nil.
func (o *Operator) findCaller(name string) *callerView {
	c := o.catalog.Configuration()
	if c == nil {
		return nil
	}
	for i := range c.Callers {
		if c.Callers[i].Name == name {
			v := newCallerView(c.Callers[i].Expand())
			return &v
		}
	}
	return nil
}
