package peerapi

// Method names of the rate limits of calling teams.
const (
	QuotaTake   = "quota.take"   // call of a node, QuotaTakeRequest to QuotaTakeReply
	QuotaReport = "quota.report" // call of a control instance to the leader, QuotaReportRequest to QuotaReportReply
	QuotaUsage  = "quota.usage"  // call between control instances, Empty to QuotaUsageReply
)

// QuotaTakeRequest states what a node holds of a control instance and what it needs. Teams that are not named are unchanged.
type QuotaTakeRequest struct {
	// Incarnation identifies this start of the node. Seq increases with each request of the incarnation.
	Incarnation uint64 `json:"i"`
	Seq         uint64 `json:"s"`
	// Instance and InstanceIncarnation name the giver that Teams refers to; empty and 0 if the node holds nothing and does not
	// know it. Any other instance does nothing, and names itself in its reply.
	Instance            string `json:"o,omitempty"`
	InstanceIncarnation uint64 `json:"oi,omitzero"`
	// Applied is the Seq of the last request to this giver whose reply the node has applied; 0 for none.
	Applied uint64 `json:"a,omitzero"`
	// Full means that the node holds nothing for teams that are not named.
	Full  bool       `json:"f,omitzero"`
	Teams []TeamTake `json:"t,omitempty"`
	// AgeMillis is how long this start of the node has run. It is stated until the node has applied a reply.
	AgeMillis int `json:"g,omitzero"`
}

// TeamTake is the part of one team in a QuotaTakeRequest.
type TeamTake struct {
	Team string `json:"n"`
	// Held is the number of tokens that the node holds, and Returned of those that it gave up since its last request.
	Held     int `json:"h,omitzero"`
	Returned int `json:"r,omitzero"`
	// Want is the number of tokens for requests that wait, Stock the number of further ones in advance.
	Want  int `json:"w,omitzero"`
	Stock int `json:"k,omitzero"`
	// Demand is the recent number of requests per second, including refused ones.
	Demand float64 `json:"d,omitzero"`
	// Rate is the offline rate that the node holds, and Need the demand over a longer time, by which the giver sets it.
	Rate float64 `json:"l,omitzero"`
	Need float64 `json:"m,omitzero"`
}

// QuotaTakeReply answers QuotaTakeRequest.
type QuotaTakeReply struct {
	Instance    string `json:"o"`
	Incarnation uint64 `json:"i"`
	// Rebind means that the request was meant for another giver and had no effect.
	Rebind bool `json:"b,omitzero"`
	// Forget means that the giver counts nothing as held by the node: its leases ended. The request had no effect.
	Forget bool `json:"x,omitzero"`
	// Outdated means that the giver was paused and cannot tell how long ago the request was sent. It had no effect.
	Outdated bool `json:"p,omitzero"`
	// LeaseMillis is how long after the sending of the request everything that the node holds of this giver is valid.
	LeaseMillis int `json:"l,omitzero"`
	// SilentMillis is how long after a confirmed reply the giver reserves the offline rates of a node.
	SilentMillis int         `json:"q,omitzero"`
	Teams        []TeamGrant `json:"t,omitempty"`
}

// TeamGrant is the part of one team in a QuotaTakeReply.
type TeamGrant struct {
	Team string `json:"n"`
	// Tokens is the number of tokens that the node gets; if it is negative, the node is to give back as many.
	Tokens int `json:"k,omitzero"`
	// Rate replaces the offline rate that the node holds.
	Rate float64 `json:"l,omitzero"`
	// RetryMillis is when the giver expects a token, if it had too few; 0 otherwise.
	RetryMillis int `json:"r,omitzero"`
	// PaceMillis is the time between two tokens that the node can expect, if the giver had too few; 0 if it is unknown.
	PaceMillis int `json:"p,omitzero"`
	// Pending means that the giver had too few and has just asked the leader for more.
	Pending bool `json:"w,omitzero"`
	// Unknown means that the giver had no token and cannot tell whether the team is at its limit.
	Unknown bool `json:"u,omitzero"`
}

// QuotaReportRequest states the shares of a control instance. Teams that are not named are unchanged, or have no share if
// Full is set.
type QuotaReportRequest struct {
	Incarnation uint64 `json:"i"`
	Seq         uint64 `json:"s"`
	// Term is the newest term of the replicated log that the instance knows.
	Term uint64 `json:"e"`
	Full bool   `json:"f,omitzero"`
	// Leases is what the instance knows of the leases that an earlier incarnation of it gave.
	Leases EarlierLeases `json:"x,omitempty"`
	Teams  []TeamShare   `json:"t,omitempty"`
	// Waits names starts of nodes that may hold something of an earlier incarnation of this instance; there may be more.
	Waits []NodeStart `json:"w,omitempty"`
	// Heard names the newest starts of nodes of which this instance has heard, as far as they were not stated before.
	Heard []NodeStart `json:"h,omitempty"`
	// QuietMillis is how long nothing that earlier incarnations of this instance gave has been valid.
	QuietMillis int `json:"q,omitzero"`
}

// NodeStart identifies one start of a node.
type NodeStart struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i,omitzero"`
	// AgeMillis is how long it has run at least.
	AgeMillis int `json:"a,omitzero"`
}

// EarlierLeases is what a control instance knows of the leases of its earlier incarnations.
type EarlierLeases string

// Values of EarlierLeases.
const (
	// LeasesEnded means that none is valid.
	LeasesEnded EarlierLeases = ""
	// LeasesMayLast means that one may be valid.
	LeasesMayLast EarlierLeases = "may-last"
	// LeasesUnrecorded means that one may be valid, but the disk holds no record of any.
	LeasesUnrecorded EarlierLeases = "unrecorded"
)

// TeamShare is the part of one team in a QuotaReportRequest.
type TeamShare struct {
	Team string `json:"n"`
	// Rate and Capacity are the share that the instance holds.
	Rate     float64 `json:"r,omitzero"`
	Capacity float64 `json:"c,omitzero"`
	// Demand is the recent number of requests per second at the nodes of the instance.
	Demand float64 `json:"d,omitzero"`
	// Want is the number of tokens that the instance lacks, and Returned of those that it gave up together with as much
	// capacity.
	Want     int `json:"w,omitzero"`
	Returned int `json:"g,omitzero"`
}

// QuotaReportReply answers QuotaReportRequest.
type QuotaReportReply struct {
	// Term is that of the leader. An instance ignores the reply if it knows a later one.
	Term uint64 `json:"e"`
	// Complete means that the leader knows what all instances hold, and that no lease of an earlier incarnation of this one
	// lasts.
	Complete bool `json:"c,omitzero"`
	// NeedFull means that the request had no effect because it was not full, or of an earlier term.
	NeedFull bool        `json:"f,omitzero"`
	Teams    []ShareGive `json:"t,omitempty"`
	// Replaced names, of the starts in Waits, the nodes that have been started again, with the age of the later start.
	Replaced []NodeStart `json:"r,omitempty"`
	// Sought means that another instance waits for nodes, so that the next reports are to state those heard of.
	Sought bool `json:"s,omitzero"`
}

// ShareGive is the part of one team in a QuotaReportReply.
type ShareGive struct {
	Team string `json:"n"`
	// Rate and Capacity replace the share of the instance. Tokens are added to its bucket; Capacity includes room for them.
	Rate     float64 `json:"r,omitzero"`
	Capacity float64 `json:"c,omitzero"`
	Tokens   int     `json:"k,omitzero"`
	// RetryMillis is when the pool expects a token, if it had too few; 0 otherwise.
	RetryMillis int `json:"m,omitzero"`
	// Unknown means that the pool is not in use: the leader does not know yet what all instances hold.
	Unknown bool `json:"u,omitzero"`
}

// HoldsAnything reports whether the request states that the node holds something of the giver.
func (r *QuotaTakeRequest) HoldsAnything() bool {
	for i := range r.Teams {
		if r.Teams[i].Held > 0 || r.Teams[i].Rate > 0 {
			return true
		}
	}
	return r.Applied > 0
}

// OfflineCapacity returns how many tokens may accrue at a node by an offline rate.
func OfflineCapacity(rate float64) float64 { return max(1, rate) }

// QuotaUsageReply states the use of the limits of calling teams at a control instance, for operators.
type QuotaUsageReply struct {
	Teams []TeamUse `json:"t,omitempty"`
}

// TeamUse is the part of one team in a QuotaUsageReply.
type TeamUse struct {
	Team string `json:"n"`
	// Rate and Capacity are the share that the instance holds.
	Rate     float64 `json:"r,omitzero"`
	Capacity float64 `json:"c,omitzero"`
	// Demand is the recent number of requests per second at the nodes of the instance, including refused ones. Admitted is the
	// recent number of tokens per second that these nodes have taken and not given back.
	Demand   float64 `json:"d,omitzero"`
	Admitted float64 `json:"a,omitzero"`
}
