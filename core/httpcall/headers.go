// Package httpcall dispatches HTTP/1.1 calls between nodes and from a node to
// its upstream. It reuses idle connections, authenticates nodes to each other and
// reports for each failed dispatch whether the call may have run.
//
// It does not use http.Transport, because that sends some requests again on its own.
package httpcall

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderPrefix is the prefix of the names of the system's own headers. Headers with this
// prefix are removed from the requests of callers and the responses of upstreams.
const HeaderPrefix = "Celeryyard-"

// Headers that callers and upstreams see.
const (
	// HeaderVerdict states whether a failed call may have run.
	HeaderVerdict = "Celeryyard-Verdict"
	// HeaderTimeout is a time in milliseconds. A caller may set it to shorten the timeout of the
	// route. An upstream receives in it the time that is left for the call.
	HeaderTimeout = "Celeryyard-Timeout-Ms"
	// HeaderClaim states what is known about an earlier call with the same Idempotency-Key if the
	// call was answered without running it: "replayed", "running", "ran" or "unknown".
	HeaderClaim = "Celeryyard-Claim"
	// HeaderIdempotencyKey is the published header whose value stays the same when a caller repeats a
	// call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers between nodes.
const (
	// HeaderLoad holds the load of the answering node's upstream, and the time that the call spent at
	// that node; see NodeLoad.
	HeaderLoad = "Celeryyard-Load"

	// HeaderRepeat marks a call that may have run before, or that is made by the repeat of one.
	HeaderRepeat = "Celeryyard-Repeat"

	// HeaderMaxStay is the longest time in milliseconds that the call may be queued at the receiving node. The node
	// then rejects it with ReasonStayOver, and the sender may offer it again. A node that stops as planned thus gets
	// back the calls that have not started.
	HeaderMaxStay = "Celeryyard-Max-Stay"

	// HeaderAge is the time in milliseconds since the call arrived at the sending node. "r" follows if the call was
	// offered to another node before, and "p" if it will be offered to another one if this one is slow. The header is
	// absent for a call that was just received.
	HeaderAge = "Celeryyard-Age"

	// headerCall holds an encoded Call.
	headerCall = "Celeryyard-Call"
	// headerHello holds the nonce of the client in the handshake. In the answer it holds the nonce of
	// the server and the MAC that proves the server's key and node name.
	headerHello = "Celeryyard-Hello"
	// headerNode holds the server's node name in the answer to the handshake.
	headerNode = "Celeryyard-Node"
	// headerProof holds the MAC that proves the client's key in the first request after the handshake.
	headerProof = "Celeryyard-Proof"
	// headerRejected holds the reason and the signature of a rejection.
	headerRejected = "Celeryyard-Rejected"
)

// Bounds of received values.
const (
	maxCallHeaderBytes = 1024
	maxTimeout         = 24 * time.Hour
)

// Call is the information about a call that one node sends to another.
type Call struct {
	// Remaining is the time left until the deadline of the call, in whole milliseconds.
	Remaining    time.Duration
	Service      string
	Organisation string
	// ID identifies the call in logs; empty when the caller gave none.
	ID string
	// Caller is the service whose upstream the sending node serves; empty if it serves none.
	Caller string
	// Priority orders waiting calls; 0 is the most urgent.
	Priority int
	// TargetLatency is the latency that the route aims at, in whole milliseconds; 0 for none.
	TargetLatency time.Duration
	// RemainingWait is how long the call may still wait in queues, in whole milliseconds. For a call without a target
	// latency, 0 means that only the deadline limits the wait.
	RemainingWait time.Duration
	// Keyed marks a call with an Idempotency-Key; the receiver is the primary holder of its
	// claim.
	Keyed bool
	// BackupNode is the node name of the backup holder of the claim; empty if the service has only
	// one endpoint.
	BackupNode string
	// BackupAddress is the address of the backup holder.
	BackupAddress string
	// Team is the calling team; empty if the configuration has none or the route is anonymous.
	Team string
	// TeamPriority takes precedence over Priority; 0 is the most urgent.
	TeamPriority int
	// Nested marks a call that an upstream makes for a request that it is running. Its failure wastes the work that
	// was done for that request.
	Nested bool
}

// Class returns the name of the class of the call. Calls of one class have the same priority
// and target latency, and are expected to have similar durations.
func (c *Call) Class() string {
	return strconv.Itoa(c.Priority) + "/" + strconv.FormatInt(c.TargetLatency.Milliseconds(), 10)
}

// Versions of the encoding of a Call, which are the first field of the header. The second one has the fields of the
// calling team and of nested calls; it is used only if one of them is set, so that nodes of an earlier version of the
// program understand the others.
const (
	callVersion     = "3"
	teamCallVersion = "4"
)

// Number of fields of a call header, without and with those of a keyed call. A header of teamCallVersion has
// teamFieldCount more, in front of those of a keyed call.
const (
	callFieldCount      = 9
	keyedCallFieldCount = 11
	teamFieldCount      = 3
)

// Encode returns the header value of the call.
func (c *Call) Encode() string {
	b := make([]byte, 0, 128)
	hasTeamFields := c.Team != "" || c.TeamPriority != 0 || c.Nested
	if hasTeamFields {
		b = append(b, teamCallVersion+";"...)
	} else {
		b = append(b, callVersion+";"...)
	}
	b = strconv.AppendInt(b, c.Remaining.Milliseconds(), 10)
	b = append(append(b, ';'), url.PathEscape(c.Service)...)
	b = append(append(b, ';'), url.PathEscape(c.Organisation)...)
	b = append(append(b, ';'), url.PathEscape(c.ID)...)
	b = append(append(b, ';'), url.PathEscape(c.Caller)...)
	b = strconv.AppendInt(append(b, ';'), int64(c.Priority), 10)
	b = strconv.AppendInt(append(b, ';'), min(c.TargetLatency, maxTimeout).Milliseconds(), 10)
	b = strconv.AppendInt(append(b, ';'), min(c.RemainingWait, maxTimeout).Milliseconds(), 10)
	if hasTeamFields {
		b = append(append(b, ';'), url.PathEscape(c.Team)...)
		b = strconv.AppendInt(append(b, ';'), int64(c.TeamPriority), 10)
		b = strconv.AppendBool(append(b, ';'), c.Nested)
	}
	if c.Keyed {
		b = append(append(b, ';'), url.PathEscape(c.BackupNode)...)
		b = append(append(b, ';'), url.PathEscape(c.BackupAddress)...)
	}
	return string(b)
}

// ParseCall decodes the header value of a call.
func ParseCall(s string) (Call, error) {
	var c Call
	if len(s) > maxCallHeaderBytes {
		return c, errors.Newf("call header has %d bytes, the limit is %d", len(s), maxCallHeaderBytes)
	}
	var f [keyedCallFieldCount + teamFieldCount]string
	n := 0
	for rest, more := s, true; more; n++ {
		if n == len(f) {
			return c, errors.New("call header has too many fields")
		}
		f[n], rest, more = strings.Cut(rest, ";")
	}
	extra := 0
	if f[0] == teamCallVersion {
		extra = teamFieldCount
	}
	if (f[0] != callVersion && extra == 0) || (n != callFieldCount+extra && n != keyedCallFieldCount+extra) {
		return c, errors.Newf("call header has an unsupported version %q or number of fields %d", f[0], n)
	}
	if extra > 0 {
		if err := c.parseTeamFields(f[callFieldCount], f[callFieldCount+1], f[callFieldCount+2]); err != nil {
			return Call{}, err
		}
	}
	var err error
	if c.Remaining, err = ParseTimeout(f[1]); err != nil {
		return Call{}, err
	}
	if c.TargetLatency, err = ParseTimeout(f[7]); err != nil {
		return Call{}, err
	}
	if c.RemainingWait, err = ParseTimeout(f[8]); err != nil {
		return Call{}, err
	}
	if c.Priority, err = strconv.Atoi(f[6]); err != nil || c.Priority < 0 {
		return Call{}, errors.Newf("call header has an invalid priority %q", f[6])
	}
	c.Keyed = n == keyedCallFieldCount+extra
	texts := []struct {
		into *string
		at   int
	}{{&c.Service, 2}, {&c.Organisation, 3}, {&c.ID, 4}, {&c.Caller, 5}, {&c.BackupNode, 9 + extra}, {&c.BackupAddress, 10 + extra}}
	for _, t := range texts {
		if *t.into, err = url.PathUnescape(f[t.at]); err != nil {
			return Call{}, errors.Wrap(err, "call header")
		}
	}
	if c.Service == "" || c.Organisation == "" {
		return Call{}, errors.New("call header lacks the service or the organisation")
	}
	return c, nil
}

// parseTeamFields decodes the fields that only headers of teamCallVersion have.
func (c *Call) parseTeamFields(team, priority, nested string) error {
	var err error
	if c.Team, err = url.PathUnescape(team); err != nil {
		return errors.Wrap(err, "call header")
	}
	if c.TeamPriority, err = strconv.Atoi(priority); err != nil || c.TeamPriority < 0 {
		return errors.Newf("call header has an invalid team priority %q", priority)
	}
	if c.Nested, err = strconv.ParseBool(nested); err != nil {
		return errors.Newf("call header has an invalid field %q for nested calls", nested)
	}
	return nil
}

// ParseTimeout decodes a time in milliseconds between 0 and 24 hours.
func ParseTimeout(s string) (time.Duration, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maxTimeout.Milliseconds() {
		return 0, errors.Newf("timeout %q is not a number of milliseconds up to %d", s, maxTimeout.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

// FormatTimeout encodes the time left in milliseconds; a negative time gives 0.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// NodeLoad is the load information in a node's answer.
type NodeLoad struct {
	// Load is the load of the node's upstream; 1 means that all slots are busy.
	Load float64
	// TimeAtNode is the time that the call spent at the node and its upstream, in whole
	// milliseconds. The rest of the call's duration is network time.
	TimeAtNode time.Duration
}

// Encode returns the header value: the load and, if above 0, the milliseconds.
func (l NodeLoad) Encode() string {
	b := strconv.AppendFloat(make([]byte, 0, 16), l.Load, 'f', 2, 64)
	if ms := l.TimeAtNode.Milliseconds(); ms > 0 {
		b = strconv.AppendInt(append(b, ';'), ms, 10)
	}
	return string(b)
}

// ParseNodeLoad decodes a header value. It returns false if the value is malformed or the load is
// outside 0 to 100.
func ParseNodeLoad(s string) (NodeLoad, bool) {
	load, spent, more := strings.Cut(s, ";")
	v, err := strconv.ParseFloat(load, 64)
	if err != nil || !(v >= 0 && v <= 100) {
		return NodeLoad{}, false
	}
	l := NodeLoad{Load: v}
	if more {
		if l.TimeAtNode, err = ParseTimeout(spent); err != nil {
			return NodeLoad{}, false
		}
	}
	return l, true
}

// CallAge is the content of HeaderAge. The zero value stands for a call that was just received.
type CallAge struct {
	Age time.Duration
	// IsRepeated means that the call was offered to another node before.
	IsRepeated bool
	// IsProbing means that the call will be offered to another node if this one is slow.
	IsProbing bool
}

// Flags that follow the age.
const (
	ageRepeated = "r"
	ageProbing  = "p"
)

// Encode returns the header value.
func (a CallAge) Encode() string {
	s := FormatTimeout(a.Age)
	if a.IsRepeated {
		s += ageRepeated
	}
	if a.IsProbing {
		s += ageProbing
	}
	return s
}

// ParseCallAge decodes a header value. A malformed or missing one counts as that of a call that was just received.
func ParseCallAge(s string) CallAge {
	var a CallAge
	s, a.IsProbing = strings.CutSuffix(s, ageProbing)
	s, a.IsRepeated = strings.CutSuffix(s, ageRepeated)
	var err error
	if a.Age, err = ParseTimeout(s); err != nil {
		return CallAge{}
	}
	return a
}

// hopByHopHeaders holds the headers that are not forwarded: those that belong to one connection (RFC
// 9110, section 7.6.1), and Expect and Content-Length, which are handled separately on each hop.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// ForwardHeaders copies all headers except the hop-by-hop ones and the system's own. Both maps share
// the value slices afterwards.
func ForwardHeaders(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if hopByHopHeaders[name] || isReserved(name) || (len(connection) > 0 && isListed(connection, name)) {
			continue
		}
		to[name] = values
	}
}

// isReserved reports whether a header is one of the system's own. Other servers may treat "_"
// like "-", so both spellings are reserved.
func isReserved(name string) bool {
	const n = len(HeaderPrefix)
	return len(name) >= n && strings.EqualFold(name[:n-1], HeaderPrefix[:n-1]) && (name[n-1] == '-' || name[n-1] == '_')
}

// isListed reports whether the values of the Connection header list the header name.
func isListed(connection []string, name string) bool {
	for _, v := range connection {
		for token := range strings.SplitSeq(v, ",") {
			if textproto.CanonicalMIMEHeaderKey(textproto.TrimString(token)) == name {
				return true
			}
		}
	}
	return false
}
