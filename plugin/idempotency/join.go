package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joinState records when this node's endpoint of a service became ready.
type joinState struct {
	// incarnation and readySince are those of the endpoint's record. If they change, the endpoint
	// has become ready again.
	incarnation uint64
	readySince  int64
	// seenAt is when this node first saw the record.
	seenAt time.Time
}

// recordJoin records when this node's endpoint of a service became ready. The caller holds mu.
func (p *Idempotency) recordJoin(set *resource.EndpointSet, now time.Time) {
	own := p.ownEndpoint(set)
	if own == nil {
		return
	}
	if j := p.joinStates[set.Service]; j.incarnation != own.Incarnation || j.readySince != own.ReadySince {
		p.joinStates[set.Service] = joinState{own.Incarnation, own.ReadySince, now}
	}
}

// hasJoinedRecently reports whether claims of earlier holders may be missing on this node. This is
// the case if this node's endpoint of the service became ready less than CopyTimeout ago, since
// earlier holders may take that long to copy their claims, or if this node's view does not contain
// the endpoint yet. The caller holds mu.
func (p *Idempotency) hasJoinedRecently(service string, now time.Time) bool {
	own := p.ownEndpoint(p.sets[service])
	if own == nil {
		return true
	}
	j := p.joinStates[service]
	return j.incarnation != own.Incarnation || j.readySince != own.ReadySince || now.Sub(j.seenAt) < p.s.CopyTimeout.AsDuration()
}

// ownEndpoint returns the endpoint of this node in a set; nil if there is none.
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

// claimAt asks another node to record a claim of this node.
func (p *Idempotency) claimAt(ctx context.Context, target httpcall.Target, rec *Record, deadline time.Time) (*reply, error) {
	p.mu.Lock()
	p.replicas[rec.ID] = append(p.replicas[rec.ID], target)
	p.mu.Unlock()
	return p.send(ctx, target, &message{Op: opClaim, Records: []Record{*rec}}, deadline)
}

// claimAtEarlierHolders records a claim at the earlier holders of its key. It is called if all nodes
// in asked, the current holders, joined recently: several endpoints that become ready together can
// replace both holders, so that neither new holder knows which calls ran before. The earlier
// holders are found by hashing over the set without the recent endpoints.
//
// The call may run only if a holder that did not join recently has no record of its key, or if no
// endpoint is left to ask. If all endpoints joined recently, as after a start of the whole fleet,
// all of them are asked. If the number of asked endpoints were limited, a key could run twice when
// more endpoints than the limit become ready together; the deadline bounds the time instead.
func (p *Idempotency) claimAtEarlierHolders(ctx context.Context, rec *Record, asked []string, deadline time.Time) (Result, knownClaim, error) {
	set := p.endpointSet(serviceOf(rec.ID))
	for _, node := range asked {
		set = withoutNode(set, node)
	}
	for {
		e, _ := httpcall.SelectHolders(set, rec.ID)
		if e == nil {
			return ResultNew, knownClaim{}, nil
		}
		set = withoutNode(set, e.Node)
		holder := httpcall.Target{Node: e.Node, Address: e.Address}
		answer, err := p.claimAt(ctx, holder, rec, deadline)
		switch {
		case err != nil:
			// The endpoint with the next lower hash is not asked instead: it need not have been
			// the backup, since the backup is selected from other availability zones first.
			p.Release(rec.ID)
			return "", knownClaim{}, errors.Wrapf(err, "record claim at the earlier holder %s", e.Node)
		case answer.Result != ResultNew:
			return p.handleRefusal(rec, holder, answer)
		case !answer.Recent:
			return ResultNew, knownClaim{}, nil
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
