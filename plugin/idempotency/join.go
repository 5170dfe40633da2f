package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joinState records when the own endpoint of a service was first seen as ready.
type joinState struct {
	incarnation uint64
	readySince  int64
	seenAt      time.Time
}

// recordJoin records when the own endpoint of a service became ready. The caller holds mu.
func (p *Idempotency) recordJoin(set *resource.EndpointSet, now time.Time) {
	own := p.ownEndpoint(set)
	if own == nil {
		return
	}
	if j := p.joined[set.Service]; j.incarnation != own.Incarnation || j.readySince != own.ReadySince {
		p.joined[set.Service] = joinState{own.Incarnation, own.ReadySince, now}
	}
}

// hasJoinedRecently reports whether claims of earlier holders may be missing here: the own endpoint
// of the service became ready less than CopyTimeout ago, within which earlier holders copy
// their claims, or it is not in the own view yet. The caller holds mu.
func (p *Idempotency) hasJoinedRecently(service string, now time.Time) bool {
	own := p.ownEndpoint(p.sets[service])
	if own == nil {
		return true
	}
	j := p.joined[service]
	return j.incarnation != own.Incarnation || j.readySince != own.ReadySince || now.Sub(j.seenAt) < p.s.CopyTimeout.AsDuration()
}

// ownEndpoint returns the endpoint of this node in a set, or nil.
func (p *Idempotency) ownEndpoint(set *resource.EndpointSet) *resource.Endpoint {
	if set == nil {
		return nil
	}
	for i := range set.Endpoints {
		if e := &set.Endpoints[i]; e.Node == p.c.Instance.Name {
			return e
		}
	}
	return nil
}

// claimAt asks another holder to record an own claim.
func (p *Idempotency) claimAt(ctx context.Context, target httpcall.Target, rec *Record, deadline time.Time) (*reply, error) {
	p.mu.Lock()
	p.replicas[rec.ID] = append(p.replicas[rec.ID], target)
	p.mu.Unlock()
	return p.send(ctx, target, &message{Op: opClaim, Records: []Record{*rec}}, deadline)
}

// claimAtEarlierHolders records a claim at the previous holders when all nodes in asked joined
// recently. Several endpoints that become ready together can replace both holders of a
// claim, so that neither new holder knows which calls ran before. Hashing over the set
// without these endpoints yields the previous holders. The call may run only if a holder
// that did not join recently has no record of its key, or if no endpoint is left to ask.
// If all endpoints are recent, as after a start of the whole fleet, all of them are asked:
// with a limit on their number, a key could run twice when more endpoints than the limit
// become ready together. The deadline bounds the time instead.
func (p *Idempotency) claimAtEarlierHolders(ctx context.Context, rec *Record, asked []string, deadline time.Time) (Result, *Record, error) {
	set := p.endpointSet(serviceOf(rec.ID))
	for _, node := range asked {
		set = withoutNode(set, node)
	}
	for {
		e, _ := httpcall.SelectHolders(set, rec.ID)
		if e == nil {
			return ResultNew, nil, nil
		}
		set = withoutNode(set, e.Node)
		answer, err := p.claimAt(ctx, httpcall.Target{Node: e.Node, Address: e.Address}, rec, deadline)
		switch {
		case err != nil:
			// Don't fall through to the next endpoint by hash: it need not have been the
			// backup, because the backup is preferably in another availability zone.
			p.Release(rec.ID)
			return "", nil, errors.Wrapf(err, "record claim at the earlier holder %s", e.Node)
		case answer.Result != ResultNew:
			return p.handleRefusal(rec, answer)
		case !answer.Recent:
			return ResultNew, nil, nil
		}
	}
}

// endpointSet returns the current endpoint set of a service, or an empty set if there is none.
func (p *Idempotency) endpointSet(service string) *resource.EndpointSet {
	if s := p.view.Current(); s != nil && s.Sets[service] != nil {
		return s.Sets[service]
	}
	return &resource.EndpointSet{Service: service}
}

// handleRefusal handles the answer of a holder that did not record an own claim.
func (p *Idempotency) handleRefusal(rec *Record, answer *reply) (Result, *Record, error) {
	if answer.Result == ResultKnown {
		p.repeats.Inc()
		return ResultKnown, p.adoptRecord(answer.Record), nil
	}
	p.Release(rec.ID)
	return answer.Result, nil, nil
}
