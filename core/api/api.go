// Package api holds the interfaces through which plug-ins use each other.
//
// Callbacks are called without any lock held. Unless stated otherwise they run
// as jobs of the kernel's pool and must not block.
package api

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// QuorumStatus is what an instance knows about the replicated log.
type QuorumStatus struct {
	Member  string `json:"member"`
	Role    string `json:"role"` // leader, follower, candidate, learner
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"` // instance name; empty when unknown
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Confirmed is the last time at which the instance knew that its commit index
	// was current: a leader's last quorum of acknowledgements, or a follower's last
	// message from such a leader. Zero means never since the start.
	Confirmed time.Time `json:"confirmed"`
	// Voters and Learners are instance names.
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// Log is the replicated log, provided by the plug-in "quorum".
type Log interface {
	// Attach sets the state machine. It is called once, before Start.
	Attach(sm StateMachine)
	// Propose replicates data. done is called once: with the state machine's result
	// after the entry is applied on this instance; or with an error whose verdict
	// is NotRun when the entry can never be applied, MayHaveRun otherwise.
	Propose(data []byte, timeout time.Duration, done func(result any, err error))
	// Barrier completes a linearizable read: done is called with nil once this
	// instance has applied everything that was committed when Barrier was called.
	// Concurrent calls share one round.
	Barrier(timeout time.Duration, done func(err error))
	Status() QuorumStatus
	// Release syncs v as the lowest version that this instance may serve after a
	// restart, then calls done. Versions at or below the synced one complete at once.
	// Instances without a disk keep it in memory.
	Release(v resource.Version, done func(err error))
	// Released returns the synced version.
	Released() resource.Version
}

// StateMachine is the replicated state, provided by the plug-in "catalog". Its
// methods are called one at a time, in the order of the log.
type StateMachine interface {
	// Apply applies a committed entry. The result is deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot returns the whole state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state; on an error the state is unchanged.
	Restore(snapshot []byte) error
}

// Catalog is the accepted configuration, provided by the plug-in "catalog".
type Catalog interface {
	// Version returns the newest applied version.
	Version() resource.Version
	// Delta returns the change from version from to the newest one, limited to the
	// resources of the given services; nil services means all. It is a full set
	// (From 0) when from is 0, older than the kept history, or newer than Version.
	Delta(from resource.Version, services map[string]bool) resource.Delta
	// Watch calls f after each rise of the version. It is called before Start.
	Watch(f func(v resource.Version))
}

// Discovery is the table of endpoints on a control instance, provided by the
// plug-in "discovery".
type Discovery interface {
	// Announce stores a record of a node attached to this instance and renews its
	// lease. When a newer incarnation of the node is known, it returns that number
	// and false, and the node announces again with a higher one.
	Announce(e resource.Endpoint) (known uint64, ok bool)
	// Detach starts the expiry of the records of a node whose session broke.
	Detach(node string, incarnation uint64)
	// Set returns the endpoint set of a service; it is never absent, only empty.
	Set(service string) resource.EndpointSet
	// Watch calls f with the services whose sets changed. It is called before Start.
	Watch(f func(services []string))
}

// View is what a node serves, provided by the plug-in "view".
type View interface {
	// Current returns the snapshot in force; nil before the first one. The snapshot
	// is immutable and the call takes no lock.
	Current() *resource.Snapshot
	// Apply applies an update as one unit and swaps the snapshot. On an error
	// nothing has changed.
	Apply(u resource.Update) error
	// Watch calls f after each swap, in order. It is called before Start.
	Watch(f func(s *resource.Snapshot))
}

// InstanceStatus is what one control instance knows of its nodes.
type InstanceStatus struct {
	Instance         string           `json:"instance"`
	AvailabilityZone string           `json:"availability_zone"`
	Version          resource.Version `json:"version"`
	// Reachable is false when the instance did not answer; the other fields but
	// the names and Unseen are then zero.
	Reachable bool `json:"reachable"`
	// AgeMillis is the age of the instance's last confirmation by the quorum; -1 for never.
	AgeMillis int64 `json:"age_ms"`
	Leader    bool  `json:"leader"`
	Nodes     int   `json:"nodes"`
	// LowestVersion is the lowest version acknowledged by a connected node; 0 without nodes.
	LowestVersion resource.Version `json:"lowest_version"`
	// Behind counts connected nodes below Version; BehindNodes names at most 20 of them.
	Behind      int      `json:"behind"`
	BehindNodes []string `json:"behind_nodes,omitempty"`
	// Ahead counts connected nodes above Version. It stays above 0 when nodes hold the
	// configuration of an earlier group, which they keep until Version passes theirs.
	Ahead int `json:"ahead"`
	// Unseen counts nodes with an upstream that this instance served last and that
	// no instance that answered serves now; UnseenNodes names at most 20 of them.
	// Nodes whose lease is lost are among them until their records are forgotten:
	// a frozen node, or one that is cut off, may still serve callers. It is the only
	// count that is also given for an instance that did not answer.
	Unseen      int      `json:"unseen"`
	UnseenNodes []string `json:"unseen_nodes,omitempty"`
}

// Fleet gathers the state of all control instances, provided by the plug-in
// "distribution".
type Fleet interface {
	// Status calls done once with one element for each control instance of the
	// settings, in their order, after at most timeout.
	Status(timeout time.Duration, done func([]InstanceStatus))
}

// Announcer announces the node's upstream, provided by the plug-in "announce".
type Announcer interface {
	// Endpoint returns the record as last announced; Node is empty before that.
	Endpoint() resource.Endpoint
	// Upstream returns IP:port of the upstream beside the node; empty without one.
	Upstream() string
	// UpstreamID returns the identity that the upstream has given itself; empty
	// when it has none.
	UpstreamID() string
	// Closed reports whether the upstream takes no new call from now on.
	Closed() bool
	// Draining reports whether a planned stop has begun.
	Draining() bool
	// OnLeave sets the last step of a planned stop: f rejects further calls,
	// finishes those in flight and calls done. It is called before Start.
	OnLeave(f func(done func()))
	// Leave runs the planned stop: it announces the upstream as draining, waits
	// until that has spread and calls on their way have arrived, runs the last step
	// and withdraws the record. Concurrent and later calls share the first one.
	// done is called once all is finished.
	Leave(done func())
}
