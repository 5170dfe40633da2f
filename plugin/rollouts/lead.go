package rollouts

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
)

const (
	// decideInterval is the interval at which the leader judges and decides.
	decideInterval = 100 * time.Millisecond
	// proposeTimeout bounds a proposal. proposePause is the least time between two proposals of a roll-out: each is a write to
	// the disks of a majority. While one is undecided, the next follows after lostAfter and two
	// times the usual time: it may be lost.
	proposeTimeout = 3 * time.Second
	proposePause   = 200 * time.Millisecond
	lostAfter      = 200 * time.Millisecond
)

// leads reports whether the status is that of a leader which a quorum has confirmed recently.
func (r *Rollouts) leads(s *api.QuorumStatus, now time.Time) bool {
	return s.Role == "leader" && now.Sub(s.Confirmed) <= r.s.leaderMaxAge()
}

// updateAccounts drops the accounts of another term, and creates those of the roll-outs in progress if this instance leads. The
// caller holds mu.
func (r *Rollouts) updateAccounts(isLeader bool, term uint64) {
	if !isLeader || term != r.accountTerm {
		clear(r.accounts)
		r.accountTerm = term
	}
	for service, a := range r.accounts {
		if o := r.state.rollouts[service]; o == nil || o.ID != a.id || o.Phase.isFinal() {
			delete(r.accounts, service)
		}
	}
	if !isLeader {
		return
	}
	for service, o := range r.state.rollouts {
		if !o.Phase.isFinal() && r.accounts[service] == nil {
			r.accounts[service] = newAccount(o.ID, o.Reserved)
		}
	}
}

// endpointCounts describes the endpoints of a service during a roll-out.
type endpointCounts struct {
	versions  []string
	old       int
	readyNew  int
	isInForce bool
}

func countEndpoints(set *resource.EndpointSet, target string) endpointCounts {
	c := endpointCounts{isInForce: len(set.Endpoints) > 0}
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		if e.Version == target {
			if e.State == resource.StateReady {
				c.readyNew++
			}
			continue
		}
		c.isInForce = false
		c.old++
		if !slices.Contains(c.versions, e.Version) && len(c.versions) < maxVersions {
			c.versions = append(c.versions, e.Version)
		}
	}
	return c
}

// decide proposes the next steps of the roll-outs in progress if this instance leads.
func (r *Rollouts) decide() {
	active := r.inProgress()
	if len(active) == 0 && r.accountsEmpty() {
		return
	}
	status, now := r.log.Status(), r.c.Clock.Now()
	isLeader := r.leads(&status, now)
	r.mu.Lock()
	r.updateAccounts(isLeader, status.Term)
	r.mu.Unlock()
	if !isLeader {
		return
	}
	instances := slices.Concat(status.Voters, status.Learners)
	for service, o := range active {
		set := r.discovery.VersionedSet(service)
		if e := r.nextStep(o, countEndpoints(&set, o.Target), instances, now); e != nil {
			r.proposeStep(e, now)
		}
	}
}

func (r *Rollouts) accountsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accounts) == 0
}

// nextStep returns the next entry of a roll-out, or nil if there is none now.
func (r *Rollouts) nextStep(o *Rollout, counts endpointCounts, instances []string, now time.Time) *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, t := r.accounts[o.Service], r.timings[o.Service]
	if current := r.state.rollouts[o.Service]; a == nil || current != o || a.id != o.ID {
		return nil // an entry was applied meanwhile
	}
	bad, answers, requests := a.observe(now)
	a.condemned = a.condemned || bad != ""
	if !r.proposals[o.Service].mayFollow(bad != "", r.lag, now) {
		return nil
	}
	next, reason := nextPhase(o.Phase, observation{
		period: time.Duration(o.PeriodMillis) * time.Millisecond, remaining: t.deadline.Sub(now), sincePhase: now.Sub(t.phaseSince),
		readyNew: counts.readyNew, old: counts.old, bad: bad, answers: answers, requests: requests, lag: r.lag, settled: a.isSettled(instances, o.RuleIndex, now),
	})
	e := &entry{Service: o.Service, ID: o.ID, AtMillis: now.UnixMilli(), RemainingMillis: max(t.deadline.Sub(now).Milliseconds(), 0)}
	if next != o.Phase {
		e.Kind, e.Phase, e.Reason, e.Versions = kindAdvance, next, reason, counts.versions
		if next.isLimited() {
			e.Canaries = canaries(r.s.ExposureShare, counts.old)
		}
		return e
	}
	if reserve := a.reservation(o, r.s.ExposureShare, r.s.ExposureSlack); o.Phase.isLimited() && reserve > 0 && !a.condemned {
		e.Kind, e.Reserved = kindReserve, reserve
		return e
	}
	return nil
}

// proposal is the last step of a roll-out that this instance proposed.
type proposal struct {
	at                   time.Time
	isRollback, inFlight bool
}

// mayFollow reports whether another step may be proposed now. A rollback does not wait for another step. p may be nil.
func (p *proposal) mayFollow(isRollback bool, lag time.Duration, now time.Time) bool {
	switch {
	case p == nil:
		return true
	case isRollback && !p.isRollback:
		return true
	}
	if p.inFlight {
		return now.Sub(p.at) >= lostAfter+2*lag
	}
	return now.Sub(p.at) >= proposePause
}

// finishProposal takes note of the end of a proposal and of the time that it took. A lost one says nothing about that.
func (r *Rollouts) finishProposal(p *proposal, err error) {
	took := r.c.Clock.Now().Sub(p.at)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.inFlight = false
	if err == nil {
		r.lag = max(took, r.lag*3/4)
	}
}

func (r *Rollouts) proposeStep(e *entry, now time.Time) {
	data, err := json.Marshal(e)
	if err != nil {
		r.c.Log.Log(evUnproposed).Str("service", e.Service).Err(err).Send()
		return
	}
	p := &proposal{at: now, isRollback: e.Phase == PhaseRolledBack, inFlight: true}
	r.mu.Lock()
	r.proposals[e.Service] = p
	r.mu.Unlock()
	r.propose(data, proposeTimeout, func(_ any, err error) {
		r.finishProposal(p, err)
		if err != nil {
			r.c.Log.Log(evUnproposed).Str("service", e.Service).Int("phase", int(e.Phase)).Err(err).Send()
		}
	})
}

// onInstanceReport answers the report of another control instance.
func (r *Rollouts) onInstanceReport(c *rpc.Conn, q *rpc.Request) {
	m := &peerapi.InstanceReport{}
	err := q.Decode(m)
	if err == nil && m.Instance != c.Peer {
		err = errors.Newf("process %q sent a report of %q", c.Peer, m.Instance)
	}
	if err != nil {
		r.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		q.ReplyError(rpc.CodeInvalidParams, err)
		return
	}
	reply, ok := r.receiveReport(m)
	if !ok {
		q.ReplyError(rpc.CodeNotLeader, errors.New("this instance does not lead"))
		return
	}
	q.Reply(reply)
}

// receiveReport takes the report of a control instance and returns the permits of its nodes, and false if this instance does not
// lead.
func (r *Rollouts) receiveReport(m *peerapi.InstanceReport) (*peerapi.InstanceReply, bool) {
	status, now := r.log.Status(), r.c.Clock.Now()
	if !r.leads(&status, now) {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateAccounts(true, status.Term)
	for _, a := range r.accounts {
		a.instances[m.Instance] = instanceState{at: now, index: m.Index, pending: m.Pending}
	}
	reply := &peerapi.InstanceReply{}
	for i := range m.Nodes {
		n := &m.Nodes[i]
		p := peerapi.NodePermits{Node: n.Node, Incarnation: n.Incarnation}
		for j := range n.Reports {
			if permit, ok := r.permitFor(n, &n.Reports[j], now); ok {
				p.Permits = append(p.Permits, permit)
			}
		}
		reply.Nodes = append(reply.Nodes, p)
	}
	return reply, true
}

// permitFor takes the report of a node on one roll-out and returns the node's permit, and false if it gets none. The caller holds
// mu.
func (r *Rollouts) permitFor(n *peerapi.NodeReport, report *peerapi.RolloutReport, now time.Time) (peerapi.Permit, bool) {
	o, a := r.state.rollouts[report.Service], r.accounts[report.Service]
	if o == nil || a == nil || o.ID != report.ID {
		return peerapi.Permit{}, false
	}
	acc := a.receive(n.Node, n.Incarnation, *report, now)
	if acc == nil || a.condemned {
		return peerapi.Permit{}, false
	}
	p := peerapi.Permit{Service: o.Service, ID: o.ID, Count: peerapi.UnlimitedPermit, LifetimeMillis: int(r.s.permitLifetime().Milliseconds())}
	if o.Phase.isLimited() {
		before := a.given
		p.Count = a.permit(acc, o.Phase.share(r.s.ExposureShare), a.available(o.Reserved))
		r.permit.Add(int(a.given - before))
	}
	return p, true
}
