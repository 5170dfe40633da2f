package inbound

import (
	"math"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"
)

// headerORCA is the header of the published load report format ORCA (Open Request Cost
// Aggregation).
const headerORCA = "Endpoint-Load-Metrics"

// maxReportBytes bounds the length of a load report. A longer one is ignored.
const maxReportBytes = 4096

// storeReportedLoad stores the upstream's load report, if a response has one.
func (u *upstreamStats) storeReportedLoad(h http.Header) {
	if v := h[headerORCA]; len(v) > 0 {
		if load, ok := parseReport(v[0]); ok {
			u.reportedLoad.Store(math.Float64bits(load))
		}
	}
}

// parseReport decodes a load report such as 'JSON {"application_utilization": 0.5}'. It returns a
// load above 1 as 1, and false if the report is malformed, too long or negative.
func parseReport(s string) (float64, bool) {
	text, ok := strings.CutPrefix(s, "JSON ")
	if !ok || len(s) > maxReportBytes {
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
