// Package quota gives the rate limits of calling teams to nodes, as tokens, and divides them among the control instances.
package quota

import (
	"context"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

var (
	evInvalid   = event.Declare(580, zerolog.WarnLevel, "quota message refused")
	evUnsent    = event.Declare(581, zerolog.DebugLevel, "leader did not answer a quota report")
	evComplete  = event.Declare(582, zerolog.InfoLevel, "shares of all control instances are known; the pool is in use")
	evWait      = event.Declare(583, zerolog.InfoLevel, "leases of an earlier start may last; the former share stays reserved")
	evUnwritten = event.Declare(584, zerolog.WarnLevel, "names of nodes with leases could not be written; these nodes get no lease")
	evUnread    = event.Declare(585, zerolog.WarnLevel, "names of nodes with leases could not be read; the former share stays reserved")
)

// idleInterval is the interval at which an idle instance looks for a new leader.
const idleInterval = time.Second

// firstInterval is the time until the first report after the start, or after the first limit was configured. The leader gives
// nothing from its pool before all instances have reported.
const firstInterval = 20 * time.Millisecond

// reportSpacing is the shortest time between two reports for lack of tokens. A report and its answer name all teams that
// changed; one after the other they took most of the processor of the instances while a team was short of tokens.
const reportSpacing = 50 * time.Millisecond

// urgentInterval is the interval of the reports while an instance waits for nodes to be heard of.
const urgentInterval = 50 * time.Millisecond

// reachableFor is how long after a report that the leader answered the instance can tell that a team is at its limit.
const reachableFor = 2 * time.Second

// Discovery is the interface of the plug-in "discovery" that quota uses.
type Discovery interface {
	// Conn returns the connection to another instance, or nil.
	Conn(instance string) *rpc.Conn
}

// Quota is the plug-in.
type Quota struct {
	c         *kernel.Context
	s         *Settings
	log       api.Log
	catalog   api.Catalog
	discovery Discovery
	peer      *peer.Peer
	startedAt time.Time

	// mu guards the fields below. It is not held during calls into the log, the catalog or discovery, whose locks have
	// lower ranks.
	mu      *rank.Mutex
	version resource.Version
	// limits holds the limits of the configuration, by team.
	limits   map[string]Limit
	division division
	reporter reporter
	ledger   *Ledger // nil unless this instance leads
	// recorded holds the incarnations of nodes on the disk, unrecorded those that are to be written.
	recorded, unrecorded map[string]uint64
	// isWriting is set while the record is written, mustWrite if it has to be written again.
	isWriting, mustWrite bool
	// mustReport is set while requests of nodes lack tokens that the leader has not been asked for. No answer to a node waits
	// for the leader: it would delay the tokens of all other teams of the node. The node asks again.
	mustReport bool
	// reportedAt is the time of the last report.
	reportedAt time.Duration
	// isReporting is set while a report awaits its answer, isTicking while a tick is scheduled.
	isReporting, isTicking bool
	// isPreparing is set while a new leader waits for its ledger.
	isPreparing bool
	// answeredAt is the time of the last answer of the leader; 0 for none.
	answeredAt time.Duration

	takes, reports, waits, granted *metrics.Counter
}

func newQuota(c *kernel.Context) *Quota {
	s := c.Settings.(*Settings)
	now := c.Clock.Now()
	q := &Quota{
		c: c, s: s, log: kernel.MustFind[api.Log](c, "quorum"), catalog: kernel.MustFind[api.Catalog](c, "catalog"),
		discovery: kernel.MustFind[Discovery](c, "discovery"), startedAt: now, mu: rank.NewMutex(rank.Quota), limits: map[string]Limit{},
		recorded: map[string]uint64{}, unrecorded: map[string]uint64{},
		takes:   c.Metrics.NewCounter("celeryyard_quota_takes_total"),
		reports: c.Metrics.NewCounter("celeryyard_quota_reports_total"),
		waits:   c.Metrics.NewCounter("celeryyard_quota_waits_total"),
		granted: c.Metrics.NewCounter("celeryyard_quota_tokens_total"),
	}
	o := lenderOptions{silentAfter: s.SilentAfter.AsDuration(), lease: s.Lease.AsDuration()}
	q.division.tolerance = Tolerance{Window: s.Window.AsDuration(), Overshoot: s.Overshoot, Slack: s.Slack}
	q.reporter = newReporter(newLender(o, c.Instance.Name, uint64(now.UnixNano())), earlierLeases{lease: o.lease})
	c.Metrics.NewGauge("celeryyard_quota_teams", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.limits))
	})
	q.peer = kernel.MustFind[*peer.Peer](c, "peer")
	q.peer.Handle(peerapi.QuotaTake, q.onTake)
	q.peer.Handle(peerapi.QuotaReport, q.onReport)
	q.peer.Handle(peerapi.QuotaUsage, q.onUsage)
	q.catalog.Watch(func(resource.Version) { q.readLimits() })
	return q
}

// Start implements kernel.Plugin.
func (q *Quota) Start(context.Context) error {
	nodes, ok, err := readRecord(q.c.Instance.DataFolder)
	if err != nil {
		q.c.Log.Log(evUnread).Err(err).Send()
	}
	q.mu.Lock()
	q.reporter.leases.hasRecord, q.reporter.leases.waiting = ok, nodes
	maps.Copy(q.recorded, nodes)
	q.mu.Unlock()
	if len(nodes) > 0 {
		q.c.Log.Log(evWait).Int("nodes", len(nodes)).Send()
	}
	q.readLimits()
	return nil
}

// Stop implements kernel.Plugin.
func (q *Quota) Stop(context.Context) error { return nil }

// elapsed returns the time since the start, by the monotonic clock.
func (q *Quota) elapsed() time.Duration { return q.c.Clock.Now().Sub(q.startedAt) }

// readLimits takes over the limits of the newest configuration.
func (q *Quota) readLimits() {
	q.mu.Lock()
	from := q.version
	q.mu.Unlock()
	delta := q.catalog.Delta(from, map[string]bool{}) // callers belong to every set of services
	now := q.elapsed()
	q.mu.Lock()
	defer q.mu.Unlock()
	if from != q.version {
		return // a later call has read more
	}
	if delta.From == 0 {
		clear(q.limits)
	}
	for _, key := range delta.Removes {
		if key.Kind == resource.KindCaller {
			delete(q.limits, key.Name)
		}
	}
	for i := range delta.Upserts {
		c := delta.Upserts[i].Caller
		switch {
		case c == nil:
		case c.IsLimited():
			q.limits[c.Name] = Limit{Rate: c.RatePerSecond, Burst: c.Burst}
		default:
			delete(q.limits, c.Name)
		}
	}
	q.version = delta.To
	q.division.setLimits(q.limits)
	q.applyDivision(now)
	q.scheduleTick(now)
}

// applyDivision passes the limits on: to the ledger what the leader divides, and to the lender that and the own shares. mu is held.
func (q *Quota) applyDivision(now time.Duration) {
	q.reporter.setLimits(q.division.common, now)
	q.reporter.setOwn(q.division.own, q.division.fillOwn, now)
	if q.ledger != nil {
		q.ledger.SetLimits(q.division.common, now)
	}
}

// scheduleTick schedules the next tick if there are limits, or shares of former ones. mu is held.
func (q *Quota) scheduleTick(now time.Duration) {
	if q.isTicking || len(q.limits) == 0 && len(q.reporter.buckets) == 0 {
		return
	}
	interval := idleInterval
	switch {
	case q.reporter.term == 0:
		interval = firstInterval
	case q.reporter.isUrgent(now):
		interval = urgentInterval
	case q.reporter.isActive(now):
		interval = q.s.ReportInterval.AsDuration()
	}
	q.isTicking = true
	q.c.RunAfter(interval, "quota/tick", q.tick)
}

// tick sends a report if there is something to report.
func (q *Quota) tick() {
	status := q.log.Status()
	term := status.Term
	now := q.elapsed()
	q.mu.Lock()
	q.isTicking = false
	isNew := q.c.Instance.Bootstrap && !q.reporter.leases.hasRecord
	if q.division.observe(len(status.Voters)+len(status.Learners), q.reporter.leases.state(now), isNew, now) {
		q.applyDivision(now)
	}
	q.reporter.observeTerm(term)
	q.reporter.sweep(now)
	q.dropRecorded(now)
	due := q.reporter.isActive(now) || q.mustReport
	q.scheduleTick(now)
	q.mu.Unlock()
	if due {
		q.report()
	}
}

// onTake answers a request of a node. If this instance lacks tokens, it also reports to the leader.
func (q *Quota) onTake(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.QuotaTakeRequest{}
	if err := r.Decode(m); err != nil {
		q.refuse(c, r, err)
		return
	}
	q.takes.Inc()
	now := q.elapsed()
	q.mu.Lock()
	a, lacks := q.reporter.accept(c.Peer, m, now)
	if a == nil {
		q.mu.Unlock()
		r.ReplyError(rpc.CodeFailed, errors.New("a later request of the node was received"))
		return
	}
	q.observeNode(a, now)
	if lacks {
		q.waits.Inc()
		q.mustReport = true
	}
	reply := q.complete(a, now)
	isDue := lacks && now-q.reportedAt >= reportSpacing // otherwise the next tick reports
	q.mu.Unlock()
	r.Reply(reply)
	if isDue {
		_ = q.c.TryGo("quota/report", q.report) // an overloaded instance reports with the next tick
	}
}

// complete returns the reply to an accepted request. mu is held.
func (q *Quota) complete(a *admission, now time.Duration) *peerapi.QuotaTakeReply {
	reply := q.reporter.complete(a, q.answeredAt > 0 && now-q.answeredAt < reachableFor, now)
	for i := range reply.Teams {
		q.granted.Add(max(reply.Teams[i].Tokens, 0)) // negative for tokens that the node is to give back
	}
	return reply
}

// observeNode permits leases for a node whose name is on the disk, and starts to write it if it is not. mu is held.
func (q *Quota) observeNode(a *admission, now time.Duration) {
	q.reporter.observeNode(a, now)
	n := q.reporter.nodes[a.key]
	if n == nil || len(a.request.Teams) == 0 {
		return
	}
	onDisk := q.recorded[a.key.name]
	n.mayLend = onDisk >= a.key.incarnation && onDisk != anyStart || q.c.Instance.DataFolder == ""
	if n.mayLend || q.unrecorded[a.key.name] >= a.key.incarnation {
		return
	}
	q.unrecorded[a.key.name] = a.key.incarnation
	q.startWriting()
}

// dropRecorded drops nodes from the record whose leases have ended. mu is held.
func (q *Quota) dropRecorded(now time.Duration) {
	before := len(q.recorded)
	maps.DeleteFunc(q.recorded, func(name string, incarnation uint64) bool {
		return !q.reporter.mustRecord(nodeKey{name, incarnation}, now)
	})
	if len(q.recorded) < before {
		q.startWriting()
	}
}

// startWriting starts to write the record, or makes the writer that runs write once more. mu is held.
func (q *Quota) startWriting() {
	q.mustWrite = true
	if !q.isWriting {
		q.isWriting = true
		go q.writeRecords()
	}
}

// writeRecords writes the names of all nodes that may get leases, until no name is missing. It runs on a goroutine of its
// own, because the disk may be slow, and at most once at a time.
func (q *Quota) writeRecords() {
	for {
		q.mu.Lock()
		if !q.mustWrite {
			q.isWriting = false
			q.mu.Unlock()
			return
		}
		q.mustWrite = false
		added := maps.Clone(q.unrecorded)
		all := maps.Clone(q.recorded)
		maps.Copy(all, added)
		q.mu.Unlock()
		err := writeRecord(q.c.Instance.DataFolder, all)
		q.mu.Lock()
		for name, incarnation := range added {
			if q.unrecorded[name] == incarnation {
				delete(q.unrecorded, name) // after an error, the next request of the node tries again
			}
			if err == nil {
				q.recorded[name] = incarnation
			}
		}
		q.mu.Unlock()
		if err != nil {
			q.c.Log.Log(evUnwritten).Err(err).Send()
		}
	}
}

func (q *Quota) refuse(c *rpc.Conn, r *rpc.Request, err error) {
	q.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
	r.ReplyError(rpc.CodeInvalidParams, err)
}
