package raft

import "github.com/celeryyard/celeryyard/core/replog"

// leading is what only a leader keeps.
type leading struct {
	since    Instant
	progress map[replog.MemberID]*progress
	// uncommitted counts the bytes of proposals above the commit index.
	uncommitted int

	// round is the number of the newest round of heartbeats; rounds holds those
	// that no majority has answered yet.
	round         uint64
	rounds        []roundAt
	nextBeat      Instant
	nextLearner   Instant
	waiting       []pendingRead // for the next round
	asked         []pendingRead // for the round readRound
	readRound     uint64
	transfer      replog.MemberID
	transferUntil Instant
}

type roundAt struct {
	n  uint64
	at Instant
}

type pendingRead struct {
	context uint64
	index   uint64
}

type flow uint8

const (
	// probe sends one append at a time until the logs are known to match.
	probe flow = iota
	// replicate sends appends ahead of their answers.
	replicate
	// snapshot waits for a snapshot to be installed.
	snapshot
)

// progress is what the leader knows of another member.
type progress struct {
	match, next uint64
	flow        flow
	// waiting tells that the append of a probe is not answered yet.
	waiting bool
	// inflight holds the unanswered appends, bytes the sum of their sizes.
	inflight []sentAppend
	bytes    int
	// told is the highest commit index sent.
	told uint64
	// active is the time of the last message from the member.
	active Instant
	heard  bool
	// acked is the highest round the member answered.
	acked uint64
	// stamp is the member's clock, to be echoed once stampRound is confirmed.
	stamp      Instant
	stampRound uint64
	echo       Instant
	// pendingSnapshot is the index of the snapshot being sent.
	pendingSnapshot uint64
}

// sentAppend is an append that is not answered yet.
type sentAppend struct {
	last  uint64
	bytes int
}

func (p *progress) toProbe() {
	p.flow, p.waiting, p.inflight, p.bytes = probe, false, nil, 0
	p.next = p.match + 1
}

func (p *progress) toReplicate() {
	p.flow, p.waiting, p.inflight, p.bytes = replicate, false, nil, 0
	p.next = p.match + 1
}

func (p *progress) freeTo(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= index {
		p.bytes -= p.inflight[n].bytes
		n++
	}
	p.inflight = p.inflight[n:]
}

// syncProgress brings the table in line with the newest configuration.
func (c *Core) syncProgress() {
	config := c.log.config()
	for id := range c.lead.progress {
		if _, ok := config.Find(id); !ok {
			delete(c.lead.progress, id)
		}
	}
	for _, m := range config.Members {
		if m.ID == c.o.ID || c.lead.progress[m.ID] != nil {
			continue
		}
		c.lead.progress[m.ID] = &progress{next: c.log.last() + 1, active: c.now}
	}
}

// MemberProgress is what the leader knows of a member.
type MemberProgress struct {
	Match uint64
	// Active tells that the member answered within the least election timeout.
	Active bool
	// Silent is the time since its last message, or since this leader began.
	Silent Instant
}

// Progress returns the leader's knowledge of the other members; nil elsewhere.
func (c *Core) Progress() map[replog.MemberID]MemberProgress {
	if c.state != Leader {
		return nil
	}
	out := make(map[replog.MemberID]MemberProgress, len(c.lead.progress))
	for id, p := range c.lead.progress {
		out[id] = MemberProgress{Match: p.match, Active: p.heard && c.now-p.active < c.o.Election, Silent: c.now - p.active}
	}
	return out
}

// quorumValue returns the highest value that a majority of voters has reached.
func (c *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range c.log.config().Voters() {
		v := own
		if id != c.o.ID {
			v = of(c.lead.progress[id])
		}
		values = append(values, v)
	}
	if len(values) == 0 {
		return 0
	}
	// Insertion sort, falling: groups have at most a handful of voters.
	for i := 1; i < len(values); i++ {
		for j := i; j > 0 && values[j] > values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values[len(values)/2]
}
