package idempotency

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Limits of one merge message. Records beyond them are sent in further messages; a record that
// exceeds maxBatchBytes alone is sent alone.
const (
	maxBatchRecords = 64
	maxBatchBytes   = 256 << 10
)

// copyRetryInterval is the delay between two passes of a copy task. A holder that restarts accepts
// connections again after a few tenths of a second.
const copyRetryInterval = 200 * time.Millisecond

// withoutNode returns a copy of the set without the endpoints of a node.
func withoutNode(set *resource.EndpointSet, node string) *resource.EndpointSet {
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if e.Node != node {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

// selectSuccessors returns the nodes that need a record after its current holder has left: the
// holders in the remaining set, and those of the replicas that are ready endpoints of that set.
// Replicas are the nodes that were asked to record the claim. A replica that does not receive the
// outcome would keep reporting to later holders that the call is running. If the set is unknown or
// has no holder, all replicas are returned.
func selectSuccessors(id string, remainingSet *resource.EndpointSet, replicas []httpcall.Target) []httpcall.Target {
	var out []httpcall.Target
	if remainingSet == nil {
		return replicas
	}
	primary, backup := httpcall.SelectHolders(remainingSet, id)
	for _, e := range []*resource.Endpoint{primary, backup} {
		if e != nil {
			out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
		}
	}
	if len(out) == 0 {
		return replicas
	}
	for _, t := range replicas {
		if !slices.Contains(out, t) && hasReadyEndpoint(remainingSet, t) {
			out = append(out, t)
		}
	}
	return out
}

// hasReadyEndpoint reports whether the set contains the target as a ready endpoint.
func hasReadyEndpoint(set *resource.EndpointSet, t httpcall.Target) bool {
	return slices.ContainsFunc(set.Endpoints, func(e resource.Endpoint) bool {
		return e.Node == t.Node && e.Address == t.Address && e.State == resource.StateReady
	})
}

// findNewHolders returns the holders of a claim in newSet, other than this node, that were not
// holders in oldSet. A node that was restarted has lost its table and counts as new.
func findNewHolders(id string, oldSet, newSet *resource.EndpointSet, self string) []httpcall.Target {
	var out []httpcall.Target
	oldPrimary, oldBackup := httpcall.SelectHolders(oldSet, id)
	newPrimary, newBackup := httpcall.SelectHolders(newSet, id)
	for _, e := range []*resource.Endpoint{newPrimary, newBackup} {
		if e == nil || e.Node == self || isSameIncarnation(e, oldPrimary) || isSameIncarnation(e, oldBackup) {
			continue
		}
		out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
	}
	return out
}

// isSameIncarnation reports whether two endpoints belong to the same run of the same node.
func isSameIncarnation(a, b *resource.Endpoint) bool {
	return b != nil && a.Node == b.Node && a.Incarnation == b.Incarnation
}

// splitBatches splits records into batches that fit the limits of a merge message.
func splitBatches(records []Record) [][]Record {
	var out [][]Record
	start, size := 0, 0
	for i := range records {
		n := records[i].Reply.size()
		if i > start && (i-start >= maxBatchRecords || size+n > maxBatchBytes) {
			out, start, size = append(out, records[start:i]), i, 0
		}
		size += n
	}
	if start < len(records) {
		out = append(out, records[start:])
	}
	return out
}

// copyTask copies claims to their new holders. In each pass it sends the claims that are not
// delivered yet; it runs passes until each holder has its claims or the deadline has passed. A
// message that was not answered in time is sent again in the next pass: a holder without the answer
// of a call would report to later callers that the call may have run.
type copyTask struct {
	// newSelector returns the selector for one pass. It is called at the start of each pass, so that
	// the selector may use the current endpoint sets.
	newSelector func() targetSelector
	// doneDeliveries holds the deliveries that are not attempted again, because they succeeded or
	// would fail again.
	doneDeliveries map[delivery]bool
	// deadline is the time after which no further pass starts.
	deadline time.Time
}

// targetSelector returns the nodes to which a claim is copied, given the ID of the claim and the
// nodes that were asked to record it.
type targetSelector func(id string, replicas []httpcall.Target) []httpcall.Target

// delivery identifies the copy of one claim to one holder.
type delivery struct{ id, node string }

// Handover copies all claims to the nodes that will hold them after this node has left.
// It blocks until they are copied, ctx ends or too little time is left for another pass. If ctx has
// no deadline, the time is limited to CopyTimeout.
func (p *Idempotency) Handover(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(p.s.CopyTimeout.AsDuration())
	}
	task := &copyTask{doneDeliveries: map[delivery]bool{}, deadline: deadline, newSelector: p.newSuccessorSelector}
	for !p.runPass(ctx, task) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(copyRetryInterval):
		}
	}
}

// newSuccessorSelector returns the selector of the nodes that need a claim after this node has left.
func (p *Idempotency) newSuccessorSelector() targetSelector {
	remaining := map[string]*resource.EndpointSet{}
	if s := p.view.Current(); s != nil {
		for name, set := range s.Sets {
			remaining[name] = withoutNode(set, p.c.Instance.Name)
		}
	}
	return func(id string, replicas []httpcall.Target) []httpcall.Target {
		return selectSuccessors(id, remaining[serviceOf(id)], replicas)
	}
}

// handleSnapshot copies claims to the nodes that become holders with the new snapshot. Each claim
// should be on two nodes again before the second of its earlier holders fails as well.
func (p *Idempotency) handleSnapshot(s *resource.Snapshot) {
	p.mu.Lock()
	before := p.sets
	p.sets = s.Sets
	now := time.Now()
	for name, set := range s.Sets {
		if before[name] != set {
			p.recordJoin(set, now)
		}
	}
	affected := false
	for name := range p.claimedServices {
		affected = affected || len(p.claims.records) > 0 && before[name] != s.Sets[name]
	}
	p.mu.Unlock()
	if !affected || !p.started.Load() {
		return
	}
	selector := func(id string, _ []httpcall.Target) []httpcall.Target {
		service := serviceOf(id)
		old, now := before[service], s.Sets[service]
		if old == nil || now == nil || old == now {
			return nil
		}
		return p.filterReady(service, findNewHolders(id, old, now, p.c.Instance.Name))
	}
	p.scheduleCopy(&copyTask{
		doneDeliveries: map[delivery]bool{}, deadline: time.Now().Add(p.s.CopyTimeout.AsDuration()), newSelector: func() targetSelector { return selector },
	})
}

// filterReady returns the targets that are still ready in the current set of the service.
func (p *Idempotency) filterReady(service string, targets []httpcall.Target) []httpcall.Target {
	set := p.view.Current().Sets[service]
	return slices.DeleteFunc(targets, func(t httpcall.Target) bool {
		return set == nil || !hasReadyEndpoint(set, t)
	})
}

// scheduleCopy queues one pass of the task, and the next one after copyRetryInterval if the task has
// not ended. Each pass is a separate job, so that no worker is occupied between two passes.
func (p *Idempotency) scheduleCopy(task *copyTask) {
	err := p.submit(&pool.Job{Key: "copy", Run: func() {
		if !p.runPass(context.Background(), task) {
			p.c.Clock.AfterFunc(copyRetryInterval, func() { p.scheduleCopy(task) })
		}
	}})
	if err != nil {
		p.c.Log.Log(evCopyFailed).Err(err).Send()
	}
}

// runPass sends the claims that are not delivered yet and reports whether the task has ended.
// If a message to a holder fails, the pass sends no more messages to that holder. Later passes try
// the holder again unless its table is full or it refuses connections. A refused connection means
// that the process has exited, and a restarted process is a new holder.
func (p *Idempotency) runPass(ctx context.Context, task *copyTask) (ended bool) {
	sent, failed, notRetryable := 0, 0, 0
	for target, records := range p.pendingRecords(time.Now(), task) {
		batches := splitBatches(records)
		for i, b := range batches {
			r, err := p.send(ctx, target, &message{Op: opMerge, Records: b}, earliest(time.Now().Add(p.s.MessageTimeout.AsDuration()), task.deadline))
			if err == nil && r.Result == ResultNew {
				sent += len(b)
				task.markDone(target, b)
				p.releaseOutdatedCopies(target, b)
				continue
			}
			unsent := 0
			for _, rest := range batches[i:] {
				unsent += len(rest)
			}
			failed += unsent
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				notRetryable += unsent
				for _, rest := range batches[i:] {
					task.markDone(target, rest)
				}
			}
			p.c.Log.Log(evCopyFailed).Str("holder", target.Node).Int("claims", unsent).Err(err).Send()
			break
		}
	}
	if sent+failed > 0 {
		p.c.Log.Log(evCopied).Int("sent", sent).Int("failed", failed).Send()
	}
	return failed == notRetryable || time.Now().Add(copyRetryInterval).After(task.deadline)
}

// releaseOutdatedCopies releases, at the target, copied claims that were released here while the copies were
// sent. The release may have reached the target before the copy; the key would then never be free again.
func (p *Idempotency) releaseOutdatedCopies(target httpcall.Target, copied []Record) {
	var released []Record
	p.mu.Lock()
	for _, r := range copied {
		if r.State == StateRunning && !p.claims.holds(&r) {
			released = append(released, r)
		}
	}
	p.mu.Unlock()
	for _, r := range released {
		p.sendAsync(target, &message{Op: opRelease, Records: []Record{r}})
	}
}

// markDone records that the copies of the records to the target are not attempted again.
func (k *copyTask) markDone(target httpcall.Target, records []Record) {
	for i := range records {
		k.doneDeliveries[delivery{records[i].ID, target.Node}] = true
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// replicatedRecord is a record together with the other nodes that were asked to record it.
type replicatedRecord struct {
	record   Record
	replicas []httpcall.Target
}

// pendingRecords returns the records that are still to be delivered, by target. It selects the
// targets without holding mu, because the selection takes a few microseconds per record.
func (p *Idempotency) pendingRecords(now time.Time, task *copyTask) map[httpcall.Target][]Record {
	out := map[httpcall.Target][]Record{}
	selector := task.newSelector()
	for _, h := range p.listRecords(now) {
		h.record.TTL = h.record.expires.Sub(now).Milliseconds()
		for _, t := range selector(h.record.ID, h.replicas) {
			if !task.doneDeliveries[delivery{h.record.ID, t.Node}] {
				out[t] = append(out[t], h.record)
			}
		}
	}
	return out
}

// listRecords returns the unexpired records.
func (p *Idempotency) listRecords(now time.Time) []replicatedRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claims.expire(now)
	list := make([]replicatedRecord, 0, len(p.claims.records))
	for id, r := range p.claims.records {
		list = append(list, replicatedRecord{*r, p.replicas[id]})
	}
	return list
}

// outcomeTargets returns the nodes, other than this one, that need the outcome of a claim: its
// holders in the current set and the nodes that were asked to record it.
func (p *Idempotency) outcomeTargets(id string, replicas []httpcall.Target) []httpcall.Target {
	var set *resource.EndpointSet
	if s := p.view.Current(); s != nil {
		set = s.Sets[serviceOf(id)]
	}
	return slices.DeleteFunc(slices.Clone(selectSuccessors(id, set, replicas)), func(t httpcall.Target) bool {
		return t.Node == p.c.Instance.Name
	})
}

// serviceOf returns the service that is part of a claim ID.
func serviceOf(id string) string {
	_, rest, _ := strings.Cut(id, "\x00")
	service, _, _ := strings.Cut(rest, "\x00")
	return service
}
