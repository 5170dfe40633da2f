// Package resource defines the configuration that operators submit, the
// resources that nodes serve, and the rules that keep them consistent. It does
// no I/O and knows no message encoding beyond JSON field names.
package resource

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Version numbers accepted configurations. It rises by one with each accepted
// change and is the same on every instance. Zero means no configuration.
type Version uint64

// Kind tells the type of a resource that nodes hold.
type Kind string

// Kinds of resources.
const (
	KindRoute   Kind = "route"
	KindCluster Kind = "cluster"
)

// Key identifies a resource within its kind.
type Key struct {
	Kind Kind   `json:"k"`
	Name string `json:"n"`
}

// Match selects the requests of a route. An empty field matches everything.
type Match struct {
	// Host is compared without its port and case-insensitively.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists HTTP methods in upper case.
	Methods []string `json:"methods,omitempty"`
}

// Route sends matching requests to a cluster. Names are unique in the fleet:
// "team/name".
type Route struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Team         string `json:"team"`
	Match        Match  `json:"match"`
	// Cluster names the cluster; a node that holds the route holds the cluster.
	// It is the first one of Split when that is set.
	Cluster string `json:"cluster"`
	// Split divides the requests among several clusters by weight.
	Split []Share `json:"split,omitempty"`
	// TimeoutMillis bounds the whole call, retries included.
	TimeoutMillis int `json:"timeout_ms"`
	// MaxAttempts bounds dispatches of one call, the first included.
	MaxAttempts int `json:"max_attempts"`
	// Idempotent allows retries after a dispatch that may have run, whatever the
	// method. GET, HEAD and OPTIONS always allow them (RFC 9110, section 9.2.2).
	Idempotent bool `json:"idempotent,omitzero"`
	// AtMostOnce takes the retries after a dispatch that may have run away from
	// every method, GET included.
	AtMostOnce bool `json:"at_most_once,omitzero"`
	// Priority orders waiting calls; 0 is the most urgent.
	Priority int `json:"priority,omitzero"`
	// TargetMillis is the latency that callers want; 0 means none is stated.
	TargetMillis int `json:"target_ms,omitzero"`
}

// Share is the part of a route's requests that goes to one cluster.
type Share struct {
	Cluster string `json:"cluster"`
	// Weight is relative to the sum of the weights of the route.
	Weight int `json:"weight"`
}

// Target returns the latency that callers want; 0 means none is stated.
func (r *Route) Target() time.Duration { return time.Duration(r.TargetMillis) * time.Millisecond }

// Timeout returns the bound of the whole call.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Cluster is the way in which a team's routes reach one service. Names are
// unique in the fleet: "team/name".
type Cluster struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Team         string `json:"team"`
	// Service names the upstreams' service and thereby the endpoint set.
	Service string `json:"service"`
	// RetryBudgetPercent bounds retries in percent of calls.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// SlowStartMillis is the time over which a new endpoint reaches its full share.
	SlowStartMillis int `json:"slow_start_ms"`
	// EjectAfter is the number of consecutive failures that eject an endpoint; 0 never ejects.
	EjectAfter int `json:"eject_after"`
}

// Resource is one route or one cluster with the version that last changed it.
type Resource struct {
	Changed Version  `json:"v"`
	Route   *Route   `json:"r,omitempty"`
	Cluster *Cluster `json:"c,omitempty"`
}

// Key returns the identity of the resource.
func (r *Resource) Key() Key {
	if r.Route != nil {
		return Key{KindRoute, r.Route.Name}
	}
	if r.Cluster != nil {
		return Key{KindCluster, r.Cluster.Name}
	}
	return Key{}
}

// Delta changes a node's configuration from one version to another, as one unit.
type Delta struct {
	// From is the version that the delta applies to; 0 marks a full set, which
	// replaces everything.
	From Version `json:"f,omitzero"`
	// To is the version afterwards.
	To      Version    `json:"t"`
	Upserts []Resource `json:"u,omitempty"`
	Removes []Key      `json:"d,omitempty"`
}

// EndpointState is the stage of an upstream's life.
type EndpointState string

// Endpoint states.
const (
	StateStarting EndpointState = "starting"
	StateReady    EndpointState = "ready"
	StateDraining EndpointState = "draining"
	// StateGone marks a tombstone: the upstream has left or its lease expired.
	StateGone EndpointState = "gone"
)

// Endpoint is one upstream of a service, reached through the node beside it.
type Endpoint struct {
	// Node is the instance name of the node beside the upstream.
	Node string `json:"node"`
	// Service is the service of the upstream.
	Service string `json:"svc"`
	// Incarnation rises with each start of the node; the highest one wins.
	Incarnation uint64 `json:"inc"`
	// Revision rises with each change within one incarnation.
	Revision uint64 `json:"rev"`
	// Address is IP:port of the node's listener for other nodes.
	Address          string        `json:"addr"`
	AvailabilityZone string        `json:"az"`
	Region           string        `json:"reg,omitempty"`
	Slots            int           `json:"slots"`
	State            EndpointState `json:"st"`
	// ReadySince is when the upstream became ready, in Unix milliseconds of its
	// node's clock; it drives slow start.
	ReadySince int64 `json:"rs,omitzero"`
	// Stale marks a record whose owning control instance is silent.
	Stale bool `json:"stale,omitzero"`
}

// Newer reports whether e replaces o: a higher incarnation, or a higher
// revision within the same one.
func (e *Endpoint) Newer(o *Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Revision > o.Revision
}

// EndpointSet holds the endpoints of one service in order of their node names.
// An empty set is a set that is held; absence is the lack of one.
type EndpointSet struct {
	Service   string     `json:"svc"`
	Endpoints []Endpoint `json:"eps"`
}

// ParameterType is the type of a template parameter.
type ParameterType string

// Parameter types.
const (
	TypeString ParameterType = "string"
	TypeInt    ParameterType = "int"
	TypeBool   ParameterType = "bool"
	// TypeList is a list of strings; resources with "for_each" are made once for each item.
	TypeList ParameterType = "list"
)

// Parameter declares one parameter of a template.
type Parameter struct {
	Type ParameterType `json:"type"`
	// Default is used when a team leaves the parameter out; without it the
	// parameter is required.
	Default jsontext.Value `json:"default,omitzero"`
	// Min and Max bound an int, or the length of a string or list.
	Min *int64 `json:"min,omitzero"`
	Max *int64 `json:"max,omitzero"`
}

// RouteTemplate is a route with ${parameter} references in its text fields.
// Fields that hold numbers are text so that they can refer to parameters.
type RouteTemplate struct {
	Name        string   `json:"name"`
	ForEach     string   `json:"for_each,omitempty"`
	Host        string   `json:"host,omitempty"`
	PathPrefix  string   `json:"path_prefix,omitempty"`
	Methods     []string `json:"methods,omitempty"`
	Cluster     string   `json:"cluster"`
	TimeoutMS   string   `json:"timeout_ms,omitempty"`
	MaxAttempts string   `json:"max_attempts,omitempty"`
	Idempotent  string   `json:"idempotent,omitzero"`
}

// ClusterTemplate is a cluster with ${parameter} references in its text fields.
type ClusterTemplate struct {
	Name               string `json:"name"`
	ForEach            string `json:"for_each,omitempty"`
	Service            string `json:"service"`
	RetryBudgetPercent string `json:"retry_budget_percent,omitempty"`
	SlowStartMS        string `json:"slow_start_ms,omitempty"`
	EjectAfter         string `json:"eject_after,omitempty"`
}

// Template is what operators write once for many teams.
type Template struct {
	Name       string               `json:"name"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Routes     []RouteTemplate      `json:"routes,omitempty"`
	Clusters   []ClusterTemplate    `json:"clusters,omitempty"`
}

// Team is a template with the parameters of one team of an organisation.
type Team struct {
	Name         string                    `json:"name"`
	Organisation string                    `json:"organisation"`
	Template     string                    `json:"template"`
	Parameters   map[string]jsontext.Value `json:"parameters,omitempty"`
}
