// Package peerapi defines the messages between the processes of the fleet that
// carry configuration and endpoints. It does no I/O.
package peerapi

import (
	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Methods of the messages. Calls are answered; notifications are not.
const (
	NodeHello          = "node.hello"          // call, Hello to HelloReply
	NodeUpdate         = "node.update"         // notification to the node, Update
	NodeAck            = "node.ack"            // notification, Ack
	NodeAnnounce       = "node.announce"       // call, Announce to AnnounceReply
	NodePing           = "node.ping"           // call, Ping to Pong
	DiscoveryDelta     = "discovery.delta"     // call, Records to RecordsReply
	DiscoverySync      = "discovery.sync"      // call, Records to RecordsReply
	DistributionStatus = "distribution.status" // call, Empty to Status
)

// AllServices in Hello.Services subscribes to every service.
const AllServices = "*"

// Empty is a message without fields.
type Empty struct{}

// Hello opens the session of a node.
type Hello struct {
	Node             string `json:"node"`
	AvailabilityZone string `json:"az"`
	// Incarnation rises with each start of the node.
	Incarnation uint64 `json:"inc"`
	// Services lists the subscribed services, or AllServices alone.
	Services []string `json:"services"`
	// Version is the version in force on the node; 0 when it holds no state.
	Version resource.Version `json:"version"`
	// Digests holds the digest of each endpoint set that the node holds.
	Digests map[string]uint64 `json:"digests,omitempty"`
	// Probe asks for the reply only and opens no session.
	Probe bool `json:"probe,omitzero"`
}

// HelloReply answers Hello. Updates follow once the node is admitted.
type HelloReply struct {
	Instance string `json:"instance"`
	// Waiting says why the node is not admitted yet; empty when it is.
	Waiting string `json:"waiting,omitempty"`
	// Isolated tells that the instance does not reach the quorum.
	Isolated bool `json:"isolated,omitzero"`
	// Instances names the control instances that the sender knows, in an open fleet.
	Instances []Instance `json:"instances,omitempty"`
}

// Instance is a control instance of an open fleet; its name is its host address.
type Instance struct {
	Name             string `json:"n"`
	AvailabilityZone string `json:"az,omitempty"`
}

// Update is one step of a node's state. The next one follows only after its Ack.
type Update struct {
	// ID is echoed in the Ack. Equal updates to several nodes share one ID.
	ID    uint64          `json:"i"`
	Delta *resource.Delta `json:"d,omitempty"`
	// Sets replaces whole endpoint sets.
	Sets []resource.EndpointSet `json:"s,omitempty"`
	// Changes alters endpoint sets that the node holds.
	Changes []SetChange `json:"c,omitempty"`
	Drop    []string    `json:"x,omitempty"`
}

// Ack tells that the node has applied or rejected the update.
type Ack struct {
	ID uint64 `json:"i"`
	// Version is the version in force after the update.
	Version resource.Version `json:"version"`
	// Rejected is the reason why nothing was applied; empty on success.
	Rejected string `json:"err,omitempty"`
}

// Announce carries the record of the node's upstream. Its revision rises with
// each announcement, so that all announcements of a node are totally ordered.
type Announce struct {
	Endpoint resource.Endpoint `json:"e"`
}

// AnnounceReply answers Announce. When OK is false, Known is the incarnation
// that the node must exceed.
type AnnounceReply struct {
	OK    bool   `json:"ok"`
	Known uint64 `json:"known,omitempty"`
}

// Ping is the heartbeat of a session; its answer is the instance's heartbeat.
type Ping struct {
	// Version is the version in force on the node.
	Version resource.Version `json:"version,omitzero"`
	// Report tells of the upstream beside the node; nil without one.
	Report *LoadReport `json:"r,omitempty"`
	// Calls names the services that the node has called lately, whose loads the
	// answer is to tell.
	Calls []string `json:"c,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	// Isolated tells that the instance does not reach the quorum, so that its nodes
	// look for one that does.
	Isolated bool `json:"isolated,omitzero"`
	// Loads tells of the endpoints of the services that the ping named, as far as
	// anything is known.
	Loads []ServiceLoads `json:"l,omitempty"`
}

// Record is the entry of one node in the endpoint table.
type Record struct {
	Endpoint resource.Endpoint `json:"e"`
	// Owner is the control instance that the node was attached to.
	Owner string `json:"o"`
	// Lost marks a record whose lease expired without a withdrawal.
	Lost bool `json:"l,omitzero"`
}

// Newer reports whether r replaces o. The order is total: incarnation, then
// revision, then loss of the lease.
func (r *Record) Newer(o *Record) bool {
	if r.Endpoint.Incarnation != o.Endpoint.Incarnation || r.Endpoint.Revision != o.Endpoint.Revision {
		return r.Endpoint.Newer(&o.Endpoint)
	}
	return r.Lost && !o.Lost
}

// Records carries records from their owner to another control instance.
type Records struct {
	Instance string `json:"instance"`
	// AvailabilityZone is that of the instance.
	AvailabilityZone string `json:"az,omitempty"`
	// Epoch rises with each start of the instance.
	Epoch uint64 `json:"epoch"`
	// Seq rises by one with each message of the epoch to this receiver.
	Seq uint64 `json:"seq"`
	// Version is the highest version that the sender has released to any node.
	Version resource.Version `json:"version"`
	// Settled tells, in a sync, that the sender's table is complete: it did not
	// lose its records in a restart a moment ago.
	Settled bool     `json:"settled,omitzero"`
	Records []Record `json:"records,omitempty"`
	// Others holds, in a sync, records that no other instance vouches for now: those
	// that the receiver owned before its restart and those of silent owners.
	Others []Record `json:"others,omitempty"`
}

// RecordsReply answers Records.
type RecordsReply struct {
	// Resync asks for all records because messages are missing.
	Resync bool `json:"resync,omitzero"`
}

// Status answers DistributionStatus.
type Status struct {
	Status api.InstanceStatus `json:"status"`
}
