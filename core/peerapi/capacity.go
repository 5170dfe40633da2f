package peerapi

// CapacityReports is the method by which a control instance passes the load reports of
// its nodes on. It is a notification with a Reports message.
const CapacityReports = "capacity.reports"

// LoadReport is what a node knows of the upstream beside it.
type LoadReport struct {
	// Load is the mean number of calls at the upstream, running and waiting, over the
	// last second, in hundredths of its slots.
	Load int `json:"l"`
	// Failing is the share of the last calls that the upstream rejected, failed or did
	// not answer, in hundredths.
	Failing int `json:"f,omitzero"`
	// Durations holds the mean duration of the calls of each class, in milliseconds,
	// without the time in queues.
	Durations map[string]int `json:"d,omitempty"`
}

// Reports carries the load reports of the nodes attached to a control instance.
type Reports struct {
	// Nodes is keyed by the names of nodes.
	Nodes map[string]LoadReport `json:"n"`
}

// ServiceLoads tells how fast and how busy the endpoints of a service are.
type ServiceLoads struct {
	Service string `json:"s"`
	// Digest names the endpoint set whose order Entries follows.
	Digest uint64 `json:"g"`
	// Entries holds entryBytes for each endpoint, see AppendLoad.
	Entries []byte `json:"e"`
}

// EndpointLoad is one entry of ServiceLoads.
type EndpointLoad struct {
	// Slowness is the duration of calls relative to that at the other endpoints of
	// the service; 0 when it is unknown.
	Slowness float64
	// Load is the number of calls at the upstream relative to its slots.
	Load float64
	// Failing is the share of calls that fail beyond that at the other endpoints, 0 to 1.
	Failing float64
}

// Bytes of an entry, and their units in steps for each 1.
const (
	entryBytes    = 3
	slownessSteps = 32 // up to 8 times as slow as the median
	loadSteps     = 50 // up to 5 calls for each slot
	failingSteps  = 100
)

// AppendLoad appends an entry; one without a slowness says nothing. Values out of
// range are cut.
func AppendLoad(b []byte, l EndpointLoad) []byte {
	if l.Slowness <= 0 {
		return append(b, 0, 0, 0)
	}
	return append(b, toByte(l.Slowness*slownessSteps, 1), toByte(l.Load*loadSteps, 0), toByte(l.Failing*failingSteps, 0))
}

func toByte(v float64, least byte) byte {
	return byte(min(max(v+0.5, float64(least)), 255))
}

// Entry decodes the entry at a place; ok is false when it says nothing.
func (s *ServiceLoads) Entry(at int) (l EndpointLoad, ok bool) {
	at *= entryBytes
	if at+entryBytes > len(s.Entries) || s.Entries[at] == 0 {
		return EndpointLoad{}, false
	}
	return EndpointLoad{
		Slowness: float64(s.Entries[at]) / slownessSteps, Load: float64(s.Entries[at+1]) / loadSteps,
		Failing: min(float64(s.Entries[at+2])/failingSteps, 1),
	}, true
}
