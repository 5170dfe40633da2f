package resource

import "github.com/cockroachdb/errors"

// UpstreamStart identifies one start of an upstream that reports its own state, and one of the reports
// of that start.
type UpstreamStart struct {
	// ID identifies the upstream. Several starts may have the same ID; they then differ in
	// StartedAtMillis.
	ID string `json:"id,omitempty"`
	// StartedAtMillis is the start time in Unix milliseconds; 0 if it was not reported.
	StartedAtMillis int64 `json:"at,omitzero"`
	// Sequence is the number of the report. It increases with each report of one start.
	Sequence uint64 `json:"n,omitzero"`
}

// Closure states that a start of an upstream takes no new calls. The zero value closes nothing.
//
// A closure outlives the process that was told of it, and holds for the rest of the start: a report that was sent before it may
// arrive seconds later, and one with a higher sequence number may come from another writer. Neither must make the upstream
// available again.
type Closure struct {
	Start UpstreamStart `json:"s,omitzero"`
	// Final is set once the upstream has left.
	Final bool `json:"f,omitzero"`
}

// Covers reports whether u is a report of the start that the closure closes, or of an earlier one.
func (c Closure) Covers(u UpstreamStart) bool {
	return c.Start.ID != "" && c.Start.ID == u.ID && u.StartedAtMillis <= c.Start.StartedAtMillis
}

// Includes reports whether c closes all that o closes, as finally.
func (c Closure) Includes(o Closure) bool {
	return c.Covers(o.Start) && (c.Final || !o.Final || c.Start.StartedAtMillis > o.Start.StartedAtMillis)
}

// State returns the state of an upstream that the closure covers.
func (c Closure) State() EndpointState {
	if c.Final {
		return StateGone
	}
	return StateDraining
}

// Join returns the closure that covers more of the latest start. It is commutative, associative and
// idempotent, so that instances that exchange closures in any order agree.
func (c Closure) Join(o Closure) Closure {
	if c.Start.ID == o.Start.ID && c.Start.StartedAtMillis == o.Start.StartedAtMillis {
		c.Start.Sequence, c.Final = max(c.Start.Sequence, o.Start.Sequence), c.Final || o.Final
		return c
	}
	if c.Start.ID == "" || o.Start.ID != "" && (o.Start.StartedAtMillis > c.Start.StartedAtMillis ||
		o.Start.StartedAtMillis == c.Start.StartedAtMillis && o.Start.ID > c.Start.ID) {
		return o
	}
	return c
}

// Check returns an error if no closure of an upstream can have the value.
func (c Closure) Check() error {
	if n := len(c.Start.ID); n == 0 || n > maxEndpointNameBytes {
		return errors.Newf("upstream ID has %d bytes, want 1 to %d", n, maxEndpointNameBytes)
	}
	return nil
}

// Announcement announces the upstream beside a node as an endpoint. The revision of the endpoint
// increases with each announcement, so that all announcements of a node are totally ordered.
type Announcement struct {
	Endpoint Endpoint `json:"e"`
	// Upstream is the latest report of the upstream that the node has accepted, and Closed the closure
	// that the upstream has stated last. Both are zero for an upstream that does not report itself.
	Upstream UpstreamStart `json:"u,omitzero"`
	Closed   Closure       `json:"c,omitzero"`
}

// Check returns an error that names the first field that no announcement can have.
func (a *Announcement) Check() error {
	if err := a.Endpoint.Check(); err != nil {
		return err
	}
	for _, id := range []string{a.Upstream.ID, a.Closed.Start.ID} {
		if len(id) > maxEndpointNameBytes {
			return errors.Newf("upstream ID has %d bytes, the limit is %d", len(id), maxEndpointNameBytes)
		}
	}
	return nil
}
