package pressure

import (
	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
)

// Class is the kind of clients of a listener.
type Class int

// Classes of listeners.
const (
	// Callers send calls to a node.
	Callers Class = iota
	// Nodes send calls to other nodes. A connection counts as one of another node once that has proved to hold the fleet key.
	Nodes
	// Control is the control channel between the processes of the fleet, which authenticates like Nodes.
	Control
	// Operators send changes and configurations, and read them.
	Operators
	// Upstreams send heartbeats and announcements to the node beside them.
	Upstreams
	// Readiness probes a node.
	Readiness
	// Admin reads metrics and pages.
	Admin
	classCount
)

var classNames = [classCount]string{"callers", "nodes", "control", "operators", "upstreams", "readiness", "admin"}

// Parts of the memory of a process, from instance/memory_mb.
const (
	// heldShare is the default of the share of the memory that connections may hold. The runtime collects more garbage from two
	// fifths of the memory on; the program, its tables and garbage take the rest of these.
	heldShare = 0.16
	// connectionsPerMB is the default number of connections per MiB: 1,840 for a node of 184 MB, which has 4,100 descriptors.
	connectionsPerMB = 10
	// Defaults of a process whose memory is not limited.
	defaultHeldBytes   = 256 << 20
	defaultConnections = 8192
	// minHeldBytes is the least that connections may hold, so that the largest legal head is served.
	minHeldBytes = 8 << 20
	// minConnections is the least number of connections.
	minConnections = 256
)

// Limits are the limits of a process.
type Limits struct {
	// HeldBytes is what all connections may hold together.
	HeldBytes int64
	// Connections is the number of open connections of one class, except that ofSmallClass of it applies to the classes that have few
	// clients. Authenticated ones of the fleet are not counted.
	Connections int
}

// newLimits returns the limits of a process with the given memory, 0 if that is not limited.
func newLimits(memoryMB float64, s *Settings) Limits {
	l := Limits{HeldBytes: defaultHeldBytes, Connections: defaultConnections}
	if memoryMB > 0 {
		l.HeldBytes = max(int64(memoryMB*heldShare*(1<<20)), minHeldBytes)
		l.Connections = max(int(memoryMB*connectionsPerMB), minConnections)
	}
	if s.MaxHeldMB > 0 {
		l.HeldBytes = int64(s.MaxHeldMB * (1 << 20))
	}
	if s.MaxConnections > 0 {
		l.Connections = s.MaxConnections
	}
	return l
}

// connectionsOf returns the number of open connections of a class.
func (l Limits) connectionsOf(c Class) int {
	switch c {
	case Callers, Nodes, Control:
		return l.Connections
	}
	return max(l.Connections/8, minConnections/4)
}

const (
	// largeBytes is the cost of a head from which on it is large. A head with 80 lines and 10 KB costs less.
	largeBytes = 64 << 10
	// smallRawBytes is the size of a part of a head that a client of ordinary requests may need.
	smallRawBytes = 4 << 10
)

// ceiling returns how much may be held when n more bytes of a kind are granted. Large heads, parts of heads and
// responses, which can be streamed, leave room for bodies, these for connections, and all of them for ordinary requests.
func (l Limits) ceiling(k account.Kind, n int64, c Class) int64 {
	switch {
	case c == Readiness, k == account.KindConnection && (c == Operators || c == Upstreams):
		return l.HeldBytes + l.HeldBytes/8
	case k == account.KindHead && n < largeBytes, k == account.KindRaw && n <= smallRawBytes:
		return l.HeldBytes
	case k == account.KindRaw && c == Nodes: // another node proves who it is at the end of its first head
		return l.HeldBytes * 3 / 4
	case k == account.KindHead, k == account.KindRaw, k == account.KindResponse:
		return l.HeldBytes / 2
	case k == account.KindConnection:
		return l.HeldBytes * 7 / 8
	}
	return l.HeldBytes * 3 / 4
}

// fleetCeiling returns how much the authenticated processes of the fleet may hold when a response is buffered for one.
func (l Limits) fleetCeiling() int64 { return l.HeldBytes / 4 }

// Names of the limits of the process.
const (
	limitHeld        = "pressure/max_held_mb"
	limitConnections = "pressure/max_connections"
)

// requestLimits returns the limits of a head.
func (s *Settings) requestLimits(headBytes int) httphead.RequestLimits {
	return httphead.RequestLimits{
		Lines: s.MaxLines, FoldedLines: s.MaxFoldedLines, TrailerLines: s.MaxTrailerLines, NameBytes: s.MaxNameBytes, ValueBytes: s.MaxValueBytes, Bytes: headBytes,
	}
}
