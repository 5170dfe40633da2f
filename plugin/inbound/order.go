package inbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Composition of the priority of a queued call if the order of service is on: calls of a more urgent team precede
// those of a more urgent route, and nested calls precede all others.
const (
	teamPriorityStep = 1 << 10
	maxTeamPriority  = 1 << 18
	nestedPriority   = -1 << 30
	// nestedClassPrefix separates the statistics of nested calls from those of other calls of the same priority and
	// target.
	nestedClassPrefix = "n"
	// organisationFlowPrefix separates calls without a team, which share by organisation, from those of teams.
	organisationFlowPrefix = "/"
)

// orderOf returns the priority of a call in the queue: its team priority, then its route priority. That of a nested call
// is negative. Without team priorities it is the route priority, so that calls queued before and after the order of
// service is turned on compare correctly.
func orderOf(c *httpcall.Call) int {
	p := min(c.TeamPriority, maxTeamPriority)*teamPriorityStep + min(c.Priority, teamPriorityStep-1)
	if c.Nested {
		return nestedPriority + p
	}
	return p
}

// isOrdered reports whether the order of service is on for an upstream.
func (in *Inbound) isOrdered(s *upstreamSlots) bool {
	return in.s.Ordering.IsOn(in.isAuto(s))
}

// isAuto reports whether the order of service and the choice by cost are on for an upstream with the setting auto.
func (in *Inbound) isAuto(s *upstreamSlots) bool {
	return s.stats.slowdownPercent.Load() > 0 || in.view != nil && in.view.Current().HasCallers()
}

// classPriority returns the priority of the class of a job. Jobs of one class belong to teams of different priorities, so
// only the priority of the route counts, and that a call is nested.
func classPriority(j *pool.Job) int {
	if j.Flow != "" && j.Priority >= 0 {
		return j.Priority % teamPriorityStep
	}
	return j.Priority
}

// setOrder sets the fields of a job by which ordered calls are queued.
func (c *call) setOrder(j *pool.Job, now time.Time) {
	j.TeamPriority, j.Priority = 0, orderOf(&c.info)
	j.Class, j.Flow = c.info.Class(), c.info.Team
	if j.Flow == "" {
		j.Flow = organisationFlowPrefix + c.info.Organisation
	}
	if c.info.Nested {
		j.Class = nestedClassPrefix + j.Class
	}
	age := httpcall.ParseCallAge(c.r.Header.Get(httpcall.HeaderAge))
	j.IsRepeated, j.Since = age.IsRepeated, now.Add(-age.Age)
	if c.info.TargetLatency > 0 {
		j.Target = now.Add(c.info.TargetLatency - age.Age)
	}
}
