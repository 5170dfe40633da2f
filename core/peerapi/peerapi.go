// Package peerapi defines the messages that the processes of the fleet use to exchange
// configuration, endpoints and load reports. It does no I/O.
package peerapi

import (
	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Method names. Calls have an answer; notifications do not.
const (
	NodeHello          = "node.hello"          // call, Hello to HelloReply
	NodeUpdate         = "node.update"         // notification to the node, Update
	NodeAck            = "node.ack"            // notification, Ack
	NodeAnnounce       = "node.announce"       // call, resource.Announcement to AnnounceReply
	NodeKnown          = "node.known"          // call without parameters, to KnownReply
	NodeClose          = "node.close"          // call, Closing to Empty
	NodeClosures       = "node.closures"       // notification to the node, Closures
	NodePing           = "node.ping"           // call, Ping to Pong
	NodeConfirm        = "node.confirm"        // call without parameters, to Currency
	DiscoveryDelta     = "discovery.delta"     // call, Records to RecordsReply
	DiscoverySync      = "discovery.sync"      // call, Records to RecordsReply
	DistributionStatus = "distribution.status" // call, Empty to Status
)

// AllServices in Hello.Services subscribes to every service.
const AllServices = "*"

// Empty is a message without fields.
type Empty struct{}

// Hello opens a session of a node with a control instance.
type Hello struct {
	// Node is the instance name of the node.
	Node string `json:"node"`
	// AvailabilityZone is the availability zone of the node.
	AvailabilityZone string `json:"az"`
	// Incarnation increases with each start of the node.
	Incarnation uint64 `json:"inc"`
	// Services lists the subscribed services; AllServices alone subscribes to all.
	Services []string `json:"services"`
	// Version is the configuration version that the node serves; 0 if it has none.
	Version resource.Version `json:"version"`
	// Digests maps the service of each endpoint set of the node to the set's digest.
	Digests map[string]uint64 `json:"digests,omitempty"`
	// Probe requests only the reply; no session is opened.
	Probe bool `json:"probe,omitzero"`
}

// HelloReply answers Hello. Updates follow once the node is admitted.
type HelloReply struct {
	// Instance is the name of the control instance.
	Instance string `json:"instance"`
	// WaitingReason is the reason why the node is not admitted yet; it is empty if it is admitted.
	WaitingReason string `json:"waiting,omitempty"`
	// Isolated reports whether the instance cannot reach the quorum.
	Isolated bool `json:"isolated,omitzero"`
	// Instances lists the control instances that the sender knows in an open fleet, itself
	// included; empty in any other fleet.
	Instances []Instance `json:"instances,omitempty"`
	// Unreachable names the control instances to which the sender has had no connection for some
	// time. Nodes try them last.
	Unreachable []string `json:"unreachable,omitempty"`
	// Currency states how current the instance's configuration is; nil if it does not know.
	Currency *Currency `json:"cur,omitempty"`
	// Known is the last announcement of the node that the instance knows of; nil if there is none. A
	// node that was restarted learns from it what its upstream stated before.
	Known *resource.Announcement `json:"known,omitempty"`
	// Closures holds the closures of upstreams of the node in the replicated log.
	Closures []resource.Closure `json:"closures,omitempty"`
}

// Closing asks the instance to record a closure of an upstream of the node in the replicated log. It is answered once a
// majority of the voters has the closure on disk, or with an error.
type Closing struct {
	Closure resource.Closure `json:"c"`
}

// Closures tells a node what has been added to HelloReply.Closures.
type Closures struct {
	Closures []resource.Closure `json:"c"`
}

// KnownReply tells a node what the instance knows of it.
type KnownReply struct {
	// Known is as in HelloReply.
	Known *resource.Announcement `json:"known,omitempty"`
	// Complete is true if the instance has the records of the other instances: Known is then nil only if no
	// instance that it has reached knows of the node. An instance that has just started is not complete.
	Complete bool `json:"complete"`
}

// Currency states that the configuration of a control instance had Version as its newest version AgeMillis before
// the message was sent, by the word of a majority of the voters. A node that holds Version or a later one had
// the newest configuration at that time.
type Currency struct {
	Version resource.Version `json:"v"`
	// AgeMillis is rounded up.
	AgeMillis int64 `json:"a"`
}

// Instance is a control instance of an open fleet; its name is its host address.
type Instance struct {
	Name             string `json:"n"`
	AvailabilityZone string `json:"az,omitempty"`
}

// Update changes the state of a node. The next update is sent only after its Ack.
type Update struct {
	// ID is returned in the Ack. Identical updates to several nodes have the same ID.
	ID uint64 `json:"i"`
	// Delta changes the configuration; nil if the configuration stays the same.
	Delta *resource.Delta `json:"d,omitempty"`
	// Sets holds endpoint sets, each of which replaces the set of its service.
	Sets []resource.EndpointSet `json:"s,omitempty"`
	// Changes holds changes of endpoint sets that the node already has.
	Changes []SetChange `json:"c,omitempty"`
	// Drop names services whose endpoint sets are removed.
	Drop []string `json:"x,omitempty"`
}

// Ack reports that the node has applied or rejected an update.
type Ack struct {
	// ID is the ID of the update.
	ID uint64 `json:"i"`
	// Version is the configuration version that the node serves after the update.
	Version resource.Version `json:"version"`
	// Rejected is the reason why the update was not applied; it is empty on success.
	Rejected string `json:"err,omitempty"`
}

// AnnounceReply answers an announcement. If OK is false, the reply contains the highest known
// incarnation, which the node must exceed.
type AnnounceReply struct {
	OK               bool   `json:"ok"`
	KnownIncarnation uint64 `json:"known,omitempty"`
}

// Ping is the heartbeat of a node in a session. The answer is the heartbeat of the instance.
type Ping struct {
	// Version is the configuration version that the node serves.
	Version resource.Version `json:"version,omitzero"`
	// Report is the load report for the node's upstream; nil if there is none.
	Report *LoadReport `json:"r,omitempty"`
	// Calls names the services that the node has called recently. The answer contains their
	// loads.
	Calls []string `json:"c,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	// Isolated reports whether the instance cannot reach the quorum; if so, its nodes look for
	// an instance that can.
	Isolated bool `json:"isolated,omitzero"`
	// Currency is as in HelloReply.
	Currency *Currency `json:"cur,omitempty"`
	// Loads holds the known endpoint loads of the services named in the ping.
	Loads []ServiceLoads `json:"l,omitempty"`
	// Unreachable replaces HelloReply.Unreachable; nil if the list has not changed since it was last
	// sent in the session.
	Unreachable *[]string `json:"u,omitempty"`
}

// Record is the entry of a node in the endpoint table.
type Record struct {
	Endpoint resource.Endpoint `json:"e"`
	// Owner is the control instance that stored the record, because the node was attached to it.
	Owner string `json:"o"`
	// Lost marks a record whose lease expired before the endpoint was withdrawn.
	Lost bool `json:"l,omitzero"`
	// Upstream and Closed are those of the announcement. Closed also has what was known from earlier
	// records of the node: a later record does not end a closure.
	Upstream resource.UpstreamStart `json:"u,omitzero"`
	Closed   resource.Closure       `json:"c,omitzero"`
}

// Announcement returns the announcement that the record stems from, with what is known from earlier
// ones.
func (r *Record) Announcement() resource.Announcement {
	return resource.Announcement{Endpoint: r.Endpoint, Upstream: r.Upstream, Closed: r.Closed}
}

// State returns the state of the endpoint. It is the announced one unless the upstream has stated
// before that it closes: a node that was restarted may have announced a report that was sent earlier.
func (r *Record) State() resource.EndpointState {
	if r.Endpoint.State == resource.StateGone || !r.Closed.Covers(r.Upstream) {
		return r.Endpoint.State
	}
	return r.Closed.State()
}

// Newer reports whether r replaces o. Records are totally ordered by incarnation, then
// revision, then loss of the lease.
func (r *Record) Newer(o *Record) bool {
	if r.Endpoint.Incarnation != o.Endpoint.Incarnation || r.Endpoint.Revision != o.Endpoint.Revision {
		return r.Endpoint.Newer(&o.Endpoint)
	}
	return r.Lost && !o.Lost
}

// Records transfers records from their owner to another control instance.
type Records struct {
	// Instance is the name of the sender.
	Instance string `json:"instance"`
	// AvailabilityZone is the availability zone of the sender.
	AvailabilityZone string `json:"az,omitempty"`
	// Epoch increases with each start of the sender.
	Epoch uint64 `json:"epoch"`
	// Seq increases by one with each message of the epoch to the same receiver.
	Seq uint64 `json:"seq"`
	// Version is the highest configuration version that the sender has released, or that nodes of
	// its zone or other instances have reported to it.
	Version resource.Version `json:"version"`
	// TableComplete reports, in a sync, whether the sender's table is complete. The table is
	// incomplete shortly after a restart of the sender, which loses the records.
	TableComplete bool `json:"settled,omitzero"`
	// Records holds all records that the sender owns in a sync, and the changed records in a delta.
	Records []Record `json:"records,omitempty"`
	// Others holds, in a sync, records that no other instance currently maintains: those that
	// the receiver owned before its restart and those of owners that do not respond.
	Others []Record `json:"others,omitempty"`
}

// RecordsReply answers Records.
type RecordsReply struct {
	// Resync requests all records of the sender, because earlier messages are missing.
	Resync bool `json:"resync,omitzero"`
	// KnownEpoch is the epoch that the receiver knows of the sender if it is above that of the message, which was then not
	// followed. Epochs come from a clock; a sender that started with an earlier clock than before raises its epoch above it.
	KnownEpoch uint64 `json:"epoch,omitzero"`
}

// Status answers DistributionStatus.
type Status struct {
	Status api.InstanceStatus `json:"status"`
}
