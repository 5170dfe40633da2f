// Package api defines the interfaces through which plug-ins use each other.
//
// Callbacks are called without locks held. Unless stated otherwise, they run as jobs of the
// kernel's pool and must not block.
package api

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// QuorumStatus is the state of the replicated log as known to one instance.
type QuorumStatus struct {
	// Member is the identifier of that instance as a member of the group, not its name.
	Member string `json:"member"`
	Role   string `json:"role"` // leader, follower, candidate, learner
	Term   uint64 `json:"term"`
	Leader string `json:"leader"` // instance name; empty when unknown
	// Commit is the index of the last log entry that the instance knows to be committed.
	Commit uint64 `json:"commit"`
	// Applied is the index of the last log entry that the instance has applied.
	Applied uint64 `json:"applied"`
	// Confirmed is the last time at which the commit index of the instance was known to be
	// current. For a leader, it is when a quorum last acknowledged its leadership; for a
	// follower, when the last message of such a leader arrived. It is zero if the index was
	// not confirmed since the start.
	Confirmed time.Time `json:"confirmed"`
	// WritePending is how long the instance has been trying to complete a write to its disk.
	WritePending time.Duration `json:"-"`
	// WriteTime is the longest time that a write to the disk has taken in the last seconds; it is at
	// least WritePending.
	WriteTime time.Duration `json:"-"`
	// Voters lists the names of the voting instances.
	Voters []string `json:"voters"`
	// Learners lists the names of the instances that receive the log and do not vote.
	Learners []string `json:"learners"`
}

// Log is the replicated log, provided by the plug-in "quorum".
type Log interface {
	// SetStateMachine sets the state machine. It must be called once, before Start.
	SetStateMachine(sm StateMachine)
	// AddStateMachine adds a state machine beside the one of SetStateMachine, with entries and a snapshot of its own. It
	// returns the function that proposes its entries. It must be called before Start. name has 1 to 255 bytes and is part
	// of the log, so it must never change.
	AddStateMachine(name string, sm StateMachine) ProposeFunc
	// Propose replicates data as a log entry. done is called once: with the result of the
	// state machine after the entry has been applied on this instance, or with an error. The
	// verdict of the error is NotRun if the entry can never be applied, and MayHaveRun otherwise.
	Propose(data []byte, timeout time.Duration, done func(result any, err error))
	// Barrier makes subsequent reads linearizable: done is called with nil once this instance has
	// applied all entries that were committed when Barrier was called. Concurrent calls share one
	// exchange of messages between the instances.
	Barrier(timeout time.Duration, done func(err error))
	// Status returns the state of the log as known to this instance.
	Status() QuorumStatus
	// SyncReleasedVersion syncs v to disk as the lowest version that this instance may serve
	// after a restart, and then calls done. If v is not above the synced version, there is
	// nothing to do and done is called at once. Instances without a disk keep v in memory.
	SyncReleasedVersion(v resource.Version, done func(err error))
	// ReleasedVersion returns the version that was synced last.
	ReleasedVersion() resource.Version
}

// ProposeFunc is Log.Propose for the entries of one state machine.
type ProposeFunc func(data []byte, timeout time.Duration, done func(result any, err error))

// StateMachine is a part of the replicated state; the plug-ins "catalog" and "closures" provide one each. Its methods are
// never called concurrently, and entries are applied in the order of the log.
type StateMachine interface {
	// Apply applies a committed entry. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot returns the entire state as of the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state. If it returns an error, the state is unchanged.
	Restore(snapshot []byte) error
}

// Catalog holds the accepted configuration; it is provided by the plug-in "catalog".
type Catalog interface {
	// Version returns the newest applied version.
	Version() resource.Version
	// Delta returns the changes that lead from the version from to the newest one, limited to
	// the resources of the given services; nil means all services. It returns all resources
	// (and sets Delta.From to 0) if from is 0, older than the retained history, or above the
	// newest version.
	Delta(from resource.Version, services map[string]bool) resource.Delta
	// Watch registers f to be called each time the version increases. It must be called
	// before Start.
	Watch(f func(v resource.Version))
}

// Closures holds, by node, which upstreams have stated that they take no more calls; it is provided by the plug-in
// "closures". It is replicated: what has been recorded outlives all processes of the fleet.
type Closures interface {
	// Record adds a closure. done is called once: with nil once the closure is on the disks of a majority of the voters, or
	// with an error, after timeout at the latest; the closure may then be recorded all the same.
	Record(node string, c resource.Closure, timeout time.Duration, done func(err error))
	// Closures returns the closures of a node that this instance has applied. The result must not be changed.
	Closures(node string) []resource.Closure
	// Watch registers f to be called in a job with the nodes whose closures have changed. It must be called before Start.
	Watch(f func(nodes []string))
}

// Discovery is the endpoint table of a control instance, provided by the plug-in
// "discovery".
type Discovery interface {
	// Announce stores the record of a connected node and renews the lease of the record. If
	// this instance knows a newer incarnation of the node, it returns the number of that
	// incarnation and false; the node must then announce itself again with a higher number.
	Announce(a resource.Announcement) (known uint64, ok bool)
	// LastAnnouncement returns the last announcement of a node, or nil. The caller owns the result.
	LastAnnouncement(node string) *resource.Announcement
	// Detach starts the expiry of the records of a node whose session has ended.
	Detach(node string, incarnation uint64)
	// EndpointSet returns the endpoint set of a service. It is empty if the service has no
	// endpoints.
	EndpointSet(service string) resource.EndpointSet
	// Watch registers f to be called with the services whose endpoint sets have changed. It
	// must be called before Start.
	Watch(f func(services []string))
}

// View holds the configuration and endpoints that a node uses; it is provided by the
// plug-in "view".
type View interface {
	// Current returns the current snapshot, or nil before the first one. The snapshot is
	// immutable, and the call acquires no locks.
	Current() *resource.Snapshot
	// Apply applies an update atomically and replaces the snapshot. If it returns an error,
	// nothing has changed.
	Apply(u resource.Update) error
	// Watch registers f to be called with each new snapshot, in order. It must be called
	// before Start.
	Watch(f func(s *resource.Snapshot))
}

// InstanceStatus is the state of one control instance and its nodes.
type InstanceStatus struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	// Version is the newest version that the instance has applied.
	Version resource.Version `json:"version"`
	// Reachable is false if the instance did not answer. All fields except Instance,
	// AvailabilityZone, Unseen and UnseenNodes are then zero.
	Reachable bool `json:"reachable"`
	// AgeMillis is the time since the commit index of the instance was last confirmed by a
	// quorum, in milliseconds; -1 means never.
	AgeMillis int64 `json:"age_ms"`
	// Leader is true if the instance leads the replicated log.
	Leader bool `json:"leader"`
	// Nodes counts the connected nodes.
	Nodes int `json:"nodes"`
	// LowestVersion is the lowest version that a connected node has acknowledged; 0 if no node
	// is connected.
	LowestVersion resource.Version `json:"lowest_version"`
	// Behind counts the connected nodes with a version below Version.
	Behind int `json:"behind"`
	// BehindNodes lists at most 20 of the nodes that Behind counts.
	BehindNodes []string `json:"behind_nodes,omitempty"`
	// Ahead counts the connected nodes with a version above Version. It stays above 0 while
	// nodes have the configuration of an earlier group of voters, which they keep until
	// Version exceeds theirs.
	Ahead int `json:"ahead"`
	// Unseen counts the nodes with an upstream that were last connected to this instance and
	// that are not connected to any instance that answered. A node whose lease has expired is
	// counted until its record is deleted, because a frozen or disconnected node may still
	// serve callers. Unseen is also set if the instance did not answer.
	Unseen int `json:"unseen"`
	// UnseenNodes lists at most 20 of the nodes that Unseen counts.
	UnseenNodes []string `json:"unseen_nodes,omitempty"`
}

// Fleet collects the status of all control instances; it is provided by the plug-in
// "distribution".
type Fleet interface {
	// Status calls done once, after at most timeout, with one element for each control
	// instance in the settings, in the order of the settings.
	Status(timeout time.Duration, done func([]InstanceStatus))
}

// Upstream describes the upstream beside a node at one moment. Its fields belong together: a call that is admitted for
// one upstream must not be sent to the next one that gets the address. The zero value means that there is none.
type Upstream struct {
	// Generation identifies the upstream during the life of the process. It increases whenever another upstream, or
	// a new start of the same one, takes its place.
	Generation uint64
	// ID is the ID that the upstream has chosen for itself, or "" if it has none.
	ID string
	// Service is the name of the service that the upstream belongs to.
	Service string
	// Address is the IP:port of the upstream on the same host as the node.
	Address string
	// Slots is the number of calls that the upstream handles concurrently.
	Slots int
	// Closed is set when the upstream no longer accepts new calls.
	Closed bool
}

// Announcer announces the node's upstream, provided by the plug-in "announce".
type Announcer interface {
	// Upstream returns the current upstream.
	Upstream() Upstream
	// OnUpstreamChange sets the function that is called after the upstream was replaced, or has closed or opened again.
	// Calls may overlap, so f reads the current upstream itself. No lock is held. OnUpstreamChange must be called before Start.
	OnUpstreamChange(f func())
	// HandleMisdirected is called when another upstream than the one with the given ID answers at its
	// address.
	HandleMisdirected(id string)
	// IsDraining reports whether a planned stop has begun.
	IsDraining() bool
	// OnLeave sets the function that a planned stop runs before it withdraws the record: f rejects
	// new calls, finishes those in flight and calls done. OnLeave must be called before Start.
	OnLeave(f func(done func()))
	// Leave runs the planned stop: it announces the upstream as draining, waits until the
	// announcement has propagated and calls in transit have arrived, runs the function set
	// by OnLeave and withdraws the record. Then it calls done. Concurrent and later calls
	// do not start another stop; their done is called when the first one has finished.
	Leave(done func())
}
