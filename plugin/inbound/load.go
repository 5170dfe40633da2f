package inbound

import (
	"math"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"
)

// headerORCA carries the published load report of an upstream (ORCA).
const headerORCA = "Endpoint-Load-Metrics"

// maxReport bounds a load report.
const maxReport = 4096

// load combines the own count of calls with the upstream's report. The report
// counts for at most one full load, since it may be late or wrong.
func (in *Inbound) load(calls, slots int) float64 {
	own := float64(calls) / float64(max(slots, 1))
	return max(own, math.Float64frombits(in.reported.Load()))
}

// noteLoad takes the upstream's report from a response.
func (in *Inbound) noteLoad(h http.Header) {
	if v := h[headerORCA]; len(v) > 0 {
		if load, ok := parseReport(v[0]); ok {
			in.reported.Store(math.Float64bits(load))
		}
	}
}

// parseReport decodes "JSON {"application_utilization": 0.5}", limited to 0..1.
func parseReport(s string) (float64, bool) {
	text, ok := strings.CutPrefix(s, "JSON ")
	if !ok || len(s) > maxReport {
		return 0, false
	}
	var r struct {
		Utilization *float64 `json:"application_utilization"`
	}
	if err := json.Unmarshal([]byte(text), &r); err != nil || r.Utilization == nil || *r.Utilization < 0 {
		return 0, false
	}
	return min(*r.Utilization, 1), true
}
