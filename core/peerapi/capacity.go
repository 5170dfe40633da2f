package peerapi

// CapacityReports is the method by which a control instance forwards the load reports of its
// nodes. It is a notification.
const CapacityReports = "capacity.reports"

// LoadReport describes the load of a node's upstream as measured by the node.
type LoadReport struct {
	// LoadPercent is the mean number of running and queued calls at the upstream over the last
	// second, as a percentage of its slots.
	LoadPercent int `json:"l"`
	// FailurePercent is the percentage of recent calls that the upstream rejected, failed or did not
	// answer.
	FailurePercent int `json:"f,omitzero"`
	// DurationsMillis maps each class of calls to the mean duration of its calls in milliseconds,
	// without the time in queues.
	DurationsMillis map[string]int `json:"d,omitempty"`
}

// slowdownClass is the key in DurationsMillis of a node whose upstream states its slowdown. Receivers reject messages with
// fields that they do not know, so a field of its own would end the sessions with control instances of earlier versions. These
// take it for a class of which all nodes report the same duration.
const slowdownClass = "slowdown"

// SetStatesSlowdown marks the report of a node whose upstream states its slowdown.
func (r *LoadReport) SetStatesSlowdown() {
	if r.DurationsMillis == nil {
		r.DurationsMillis = map[string]int{}
	}
	r.DurationsMillis[slowdownClass] = 1
}

// StatesSlowdown reports whether the upstream of the node states its slowdown.
func (r *LoadReport) StatesSlowdown() bool { return r.DurationsMillis[slowdownClass] > 0 }

// IsClass reports whether a key of DurationsMillis is that of a class of calls.
func IsClass(key string) bool { return key != slowdownClass }

// LoadReports is the message of CapacityReports. It holds the load reports of the nodes that are
// attached to a control instance.
type LoadReports struct {
	// Nodes maps node names to reports.
	Nodes map[string]LoadReport `json:"n"`
}

// ServiceLoads describes the latency, load and failures of the endpoints of a service.
type ServiceLoads struct {
	Service string `json:"s"`
	// Digest identifies the endpoint set. Entries are in the order of its endpoints.
	Digest uint64 `json:"g"`
	// Entries holds entryBytes bytes for each endpoint; AppendLoad encodes them. slowdownStated follows if an upstream of
	// the service states its slowdown.
	Entries []byte `json:"e"`
}

// EndpointLoad is one entry of ServiceLoads.
type EndpointLoad struct {
	// Slowness is the mean duration of calls divided by the median over the endpoints of the
	// service; 0 means unknown.
	Slowness float64
	// Load is the number of calls at the upstream divided by its slots.
	Load float64
	// ExcessFailureRatio is the fraction of calls that fail, minus the median of this fraction over
	// the endpoints of the service. It is between 0 and 1; 0 also stands for a negative difference.
	ExcessFailureRatio float64
}

// The size of an entry in bytes, and the factors by which the values of EndpointLoad are multiplied
// when they are encoded, one byte each.
const (
	entryBytes    = 3
	slownessScale = 32 // the maximum is about 8 times the median
	loadScale     = 50 // the maximum is about 5 calls per slot
	failureScale  = 100
)

// AppendLoad appends an entry to b. If the slowness is unknown, the entry is empty: all its bytes are
// 0. Values that are out of range are clamped.
func AppendLoad(b []byte, l EndpointLoad) []byte {
	if l.Slowness <= 0 {
		return append(b, 0, 0, 0)
	}
	return append(b, encodeByte(l.Slowness*slownessScale, 1), encodeByte(l.Load*loadScale, 0), encodeByte(l.ExcessFailureRatio*failureScale, 0))
}

func encodeByte(v float64, minValue byte) byte {
	return byte(min(max(v+0.5, float64(minValue)), 255))
}

// slowdownStated follows the entries of a service whose upstreams state their slowdown. Nodes of earlier versions read only
// the entries of the endpoints.
const slowdownStated = 1

// AppendSlowdownStated appends to the entries of a service that its upstreams state their slowdown.
func AppendSlowdownStated(b []byte) []byte { return append(b, slowdownStated) }

// StatesSlowdown reports whether upstreams of the service state their slowdown. endpoints is the number of its endpoints.
func (s *ServiceLoads) StatesSlowdown(endpoints int) bool {
	return len(s.Entries) == endpoints*entryBytes+1 && s.Entries[len(s.Entries)-1] == slowdownStated
}

// Entry decodes the entry at index i; ok is false if it is empty or missing.
func (s *ServiceLoads) Entry(i int) (l EndpointLoad, ok bool) {
	i *= entryBytes
	if i+entryBytes > len(s.Entries) || s.Entries[i] == 0 {
		return EndpointLoad{}, false
	}
	return EndpointLoad{
		Slowness: float64(s.Entries[i]) / slownessScale, Load: float64(s.Entries[i+1]) / loadScale,
		ExcessFailureRatio: min(float64(s.Entries[i+2])/failureScale, 1),
	}, true
}
