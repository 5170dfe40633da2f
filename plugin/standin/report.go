package standin

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// maxListedDuplicates is the maximum number of IDs in Executions.Duplicates.
const maxListedDuplicates = 1000

// Executions is the body of GET /executions.
type Executions struct {
	Service string `json:"service"`
	// Instance is the instance name of the stand-in.
	Instance string `json:"instance"`
	// Total counts all executions of calls with an ID.
	Total int `json:"total"`
	// Distinct counts the call IDs whose executions are counted separately.
	Distinct int `json:"distinct"`
	// Unlisted counts the executions of calls whose IDs are not counted separately, because Distinct
	// had reached MaxExecutions.
	Unlisted int `json:"unlisted"`
	// Duplicates maps the ID of each call that was executed more than once to the number of its
	// executions. It contains at most 1,000 IDs.
	Duplicates map[string]int `json:"duplicates"`
	// Counts maps the ID of each call to the number of its executions, for the IDs that start with
	// the query parameter "prefix". It is absent without that parameter.
	Counts map[string]int `json:"counts,omitempty"`
}

func (p *Standin) serveExecutions(e echo.Context) error {
	return e.JSON(http.StatusOK, p.Executions(e.QueryParam("prefix")))
}

// Executions returns the executions counted so far. Unless prefix is empty, it includes the count of
// each ID that starts with prefix.
func (p *Standin) Executions(prefix string) Executions {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Executions{
		Service: p.s.Service, Instance: p.c.Instance.Name, Total: p.executions.totalExecutions,
		Distinct: len(p.executions.counts), Unlisted: p.executions.unlistedExecutions, Duplicates: map[string]int{},
	}
	for id, n := range p.executions.duplicates {
		if len(r.Duplicates) >= maxListedDuplicates {
			break
		}
		r.Duplicates[id] = n
	}
	if prefix == "" {
		return r
	}
	r.Counts = map[string]int{}
	for id, n := range p.executions.counts {
		if strings.HasPrefix(id, prefix) {
			r.Counts[id] = n
		}
	}
	return r
}

func (p *Standin) serveHealth(e echo.Context) error {
	now := p.c.Clock.Now()
	actual := 0.0
	if now.Sub(p.started) >= p.s.ColdStart.NotReady.AsDuration() {
		actual = 1
	}
	p.mu.Lock()
	ok := p.reportedHealth.observe(now, actual) > 0
	p.mu.Unlock()
	if p.s.Health.Lie != "" {
		ok = p.s.Health.Lie == "ok"
	}
	if !ok {
		return e.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return e.String(http.StatusOK, "ok\n")
}

func (p *Standin) serveLoad(e echo.Context) error {
	return e.JSON(http.StatusOK, map[string]float64{"application_utilization": p.utilisation()})
}

// utilisation returns the utilisation to report. Unless the settings fix or delay it, that is the
// number of calls that wait or execute, divided by the number of slots.
func (p *Standin) utilisation() float64 {
	if p.s.Load.Lies {
		return p.s.Load.Lie
	}
	actual := float64(p.callsInFlight.Load()) / float64(p.s.Slots)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportedLoad.observe(p.c.Clock.Now(), actual)
}
