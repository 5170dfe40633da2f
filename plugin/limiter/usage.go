package limiter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabels bounds the number of teams with metrics of their own. Requests of further teams count as those of otherTeams.
const maxLabels = 100

// otherTeams is the label of the teams above maxLabels.
const otherTeams = "other"

// teamMetrics counts the requests of a team by outcome.
type teamMetrics struct{ admitted, overLimit, unknown *metrics.Counter }

// usage holds the metrics of teams. It is not safe for concurrent use.
type usage struct {
	set    *metrics.Set
	byTeam map[string]*teamMetrics
}

// of returns the metrics of a team.
func (u *usage) of(team string) *teamMetrics {
	if m := u.byTeam[team]; m != nil {
		return m
	}
	label := team
	if len(u.byTeam) >= maxLabels {
		label = otherTeams
	}
	counter := func(outcome string) *metrics.Counter {
		return u.set.GetOrCreateCounter(fmt.Sprintf(`celeryyard_limiter_requests_total{team=%q,outcome=%q}`, label, outcome))
	}
	m := &teamMetrics{counter("admitted"), counter("over_limit"), counter("unknown")}
	u.byTeam[team] = m
	return m
}

// count counts a decision.
func (m *teamMetrics) count(o Outcome) {
	switch o {
	case Admitted:
		m.admitted.Inc()
	case OverLimit:
		m.overLimit.Inc()
	default:
		m.unknown.Inc()
	}
}
