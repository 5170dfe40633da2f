package distribution

import (
	"fmt"
	"strings"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// pushJobKey is the key of the jobs that send changes to all sessions; it makes them run one
// after the other.
const pushJobKey = "distribution/push"

// maxCacheEntries bounds the cache of deltas and the cache of encoded updates. A cache that has
// reached the bound is cleared before the next entry is added; entries are rebuilt on demand.
const maxCacheEntries = 1024

// deltaKey identifies a cached delta.
type deltaKey struct {
	group string
	from  resource.Version
}

// encodedUpdate is an encoded update. It is sent to all nodes whose next update is identical.
type encodedUpdate struct {
	id      uint64
	message *rpc.Message
}

// schedulePush schedules a push to all sessions after the Coalesce interval.
func (d *Distribution) schedulePush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushScheduled {
		return
	}
	d.pushScheduled = true
	if d.s.Coalesce == 0 && d.c.TryGo(pushJobKey, d.pushAll) == nil {
		return
	}
	d.c.RunAfter(d.s.Coalesce.AsDuration(), pushJobKey, d.pushAll)
}

// pushAll brings the endpoint sets and the cluster index up to date, and sends the next update to
// every session that is behind.
func (d *Distribution) pushAll() {
	d.mu.Lock()
	d.pushScheduled = false
	d.mu.Unlock()
	d.refreshSets()
	d.advanceIndex()
	d.mu.Lock()
	list := make([]*nodeSession, 0, len(d.sessions))
	for _, e := range d.sessions {
		if e.admitted && e.resumed && e.inflight == nil {
			list = append(list, e)
		}
	}
	d.mu.Unlock()
	for _, e := range list {
		d.push(e)
	}
}

// refreshSets reads the changed endpoint sets and reports whether a ready endpoint has left its set
// or is no longer ready. It runs only in jobs with the key pushJobKey, so that an older state of a
// set never overwrites a newer one.
func (d *Distribution) refreshSets() (lostReadyEndpoint bool) {
	settled := d.discovery.IsSettled()
	d.mu.Lock()
	d.settled = settled
	dirty := sortedKeys(d.dirtyServices)
	clear(d.dirtyServices)
	d.mu.Unlock()
	for _, service := range dirty {
		set := d.discovery.EndpointSet(service)
		d.mu.Lock()
		old := d.sets[service]
		d.sets[service] = newSetHistory(set, old)
		lostReadyEndpoint = lostReadyEndpoint || old != nil && hasLostReadyEndpoint(old.set, &set)
		clear(d.encodedUpdates)
		d.mu.Unlock()
	}
	return lostReadyEndpoint
}

// advanceIndex updates the cluster index to the released version.
func (d *Distribution) advanceIndex() {
	d.mu.Lock()
	from, released := d.index.version, d.releasedVersion
	d.mu.Unlock()
	if from >= released && from != 0 {
		return
	}
	delta, ok := d.releasedDelta(deltaKey{peerapi.AllServices, from}, nil)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.index.version == from && delta.To > from {
		d.index.apply(delta)
	}
}

// releasedDelta returns the delta from key.from to a released version. If the catalog is already at
// a version that is not released, it returns false; a push follows once that version is released.
// services is nil for all services.
func (d *Distribution) releasedDelta(key deltaKey, services []string) (*resource.Delta, bool) {
	d.mu.Lock()
	delta, released := d.deltas[key], d.releasedVersion
	d.mu.Unlock()
	if delta == nil || delta.To < released {
		var wanted map[string]bool
		if services != nil {
			wanted = map[string]bool{}
			for _, s := range services {
				wanted[s] = true
			}
		}
		computed := d.catalog.Delta(key.from, wanted)
		delta = &computed
		d.mu.Lock()
		if len(d.deltas) >= maxCacheEntries {
			clear(d.deltas)
		}
		d.deltas[key] = delta
		d.mu.Unlock()
	}
	if delta.To > released {
		d.release(delta.To)
		return nil, false
	}
	return delta, true
}

// push sends the next update to a session that is behind.
func (d *Distribution) push(e *nodeSession) {
	d.mu.Lock()
	from, needsDelta := e.deltaBase(), e.inflight == nil && e.admitted && e.resumed && (e.needsFull || d.releasedVersion > e.heldVersion)
	d.mu.Unlock()
	var delta *resource.Delta
	if needsDelta {
		var ok bool
		if delta, ok = d.releasedDelta(deltaKey{e.group, from}, e.services); !ok {
			return
		}
	}
	m, err := d.planUpdate(e, from, delta)
	if err == nil && m != nil {
		err = e.conn.Send(m)
	}
	if err != nil {
		d.c.Log.Log(evSendError).Str("node", e.node).Err(err).Send()
		e.conn.Close()
	}
}

// planUpdate plans the next update of a session and returns it encoded, or nil when there is
// nothing to send.
func (d *Distribution) planUpdate(e *nodeSession, from resource.Version, delta *resource.Delta) (*rpc.Message, error) {
	now := d.c.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.resumed || e.deltaBase() != from {
		return nil, nil // an acknowledgement arrived after from was read; its handler pushes
	}
	u, f := e.session.planUpdate(d.planInput(e, delta))
	if u == nil {
		return nil, nil
	}
	enc, err := d.encodeUpdate(e.group, from, u, f)
	if err != nil {
		return nil, err
	}
	e.session.markSent(enc.id, f)
	e.sentAt = now
	d.updates.Inc()
	d.updateBytes.Add(enc.message.PlainBytes)
	return enc.message, nil
}

// planInput collects the data for planning the next update of a session. It is called with
// mu held.
func (d *Distribution) planInput(e *nodeSession, delta *resource.Delta) planInput {
	in := planInput{delta: delta, settled: d.settled, lookupSet: d.getOrCreateSet}
	if e.services == nil {
		in.clusterServices, in.indexVersion = d.index.services(), d.index.version
	}
	return in
}

// getOrCreateSet returns the history of a service's endpoint set; a service unknown to discovery
// has an empty set. It is called with mu held.
func (d *Distribution) getOrCreateSet(service string) *setHistory {
	s := d.sets[service]
	if s == nil {
		s = newSetHistory(resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}, nil)
		d.sets[service] = s
	}
	return s
}

// encodeUpdate encodes an update, or returns the cached encoding if an identical update has been
// encoded for another session. It is called with mu held.
func (d *Distribution) encodeUpdate(group string, from resource.Version, u *peerapi.Update, f *inflightUpdate) (*encodedUpdate, error) {
	var key strings.Builder
	fmt.Fprintf(&key, "%s|%d>%d,%t", group, from, f.to, u.Delta != nil)
	for _, c := range u.Changes {
		fmt.Fprintf(&key, "|%s:%x>%x", c.Service, c.Base, c.Digest)
	}
	for _, s := range u.Sets {
		fmt.Fprintf(&key, "|%s=%x", s.Service, f.sets[s.Service])
	}
	fmt.Fprintf(&key, "|%v", u.Drop)
	if enc := d.encodedUpdates[key.String()]; enc != nil {
		return enc, nil
	}
	d.lastUpdateID++
	u.ID = d.lastUpdateID
	m, err := rpc.NewMessage(peerapi.NodeUpdate, u)
	if err != nil {
		return nil, err
	}
	d.encodings.Inc()
	if len(d.encodedUpdates) >= maxCacheEntries {
		clear(d.encodedUpdates)
	}
	enc := &encodedUpdate{id: u.ID, message: m}
	d.encodedUpdates[key.String()] = enc
	return enc, nil
}
