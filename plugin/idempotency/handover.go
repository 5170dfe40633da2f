package idempotency

import (
	"context"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Bounds of one handover message.
const (
	batchRecords = 64
	batchBytes   = 256 << 10
)

// without is the set without a node.
func without(set *resource.EndpointSet, node string) *resource.EndpointSet {
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if e.Node != node {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

// successors are the holders of a claim once its present holder has left: those
// of the remaining set, or the other holder when the set is not known.
func successors(id string, rest *resource.EndpointSet, other httpcall.Target) []httpcall.Target {
	var out []httpcall.Target
	if rest != nil {
		primary, backup := httpcall.Holders(rest, id)
		for _, e := range []*resource.Endpoint{primary, backup} {
			if e != nil {
				out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
			}
		}
	}
	if len(out) == 0 && other.Address != "" {
		out = append(out, other)
	}
	return out
}

// batches splits records into messages of bounded size.
func batches(records []Record) [][]Record {
	var out [][]Record
	start, size := 0, 0
	for i := range records {
		n := records[i].Reply.size()
		if i > start && (i-start >= batchRecords || size+n > batchBytes) {
			out, start, size = append(out, records[start:i]), i, 0
		}
		size += n
	}
	if start < len(records) {
		out = append(out, records[start:])
	}
	return out
}

// Handover gives all claims to the nodes that hold them once this one has left.
// It blocks until they have them or ctx ends.
func (p *Idempotency) Handover(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(10 * time.Second)
	}
	sent, lost := 0, 0
	for to, records := range p.parting(time.Now()) {
		for _, b := range batches(records) {
			limit := time.Now().Add(p.s.MessageTimeout.D())
			if deadline.Before(limit) {
				limit = deadline
			}
			r, err := p.send(ctx, to, &message{Op: opMerge, Records: b}, limit)
			if err == nil && r.Result == ResultNew {
				sent += len(b)
				continue
			}
			lost += len(b)
			p.c.Log.Log(evHandover).Str("holder", to.Node).Int("claims", len(b)).Err(err).Send()
		}
	}
	p.c.Log.Log(evHandedOver).Int("sent", sent).Int("failed", lost).Send()
}

// parting returns the records for each successor.
func (p *Idempotency) parting(now time.Time) map[httpcall.Target][]Record {
	rest := map[string]*resource.EndpointSet{}
	if s := p.view.Current(); s != nil {
		for name, set := range s.Sets {
			rest[name] = without(set, p.c.Instance.Name)
		}
	}
	out := map[httpcall.Target][]Record{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claims.expire(now)
	for id, r := range p.claims.records {
		n := *r
		n.TTL = r.expires.Sub(now).Milliseconds()
		for _, to := range successors(id, rest[serviceOf(id)], p.other[id]) {
			out[to] = append(out[to], n)
		}
	}
	return out
}

// serviceOf returns the service in a claim's identity.
func serviceOf(id string) string {
	_, rest, _ := strings.Cut(id, "\x00")
	service, _, _ := strings.Cut(rest, "\x00")
	return service
}
