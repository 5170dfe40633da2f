// Package callers identifies the calling team of a request by its API key and decides whether a request may be served
// without one.
package callers

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/session"
)

var (
	evChanged     = event.Declare(780, zerolog.InfoLevel, "calling teams changed")
	evRefused     = event.Declare(781, zerolog.InfoLevel, "requests were refused for their API keys")
	evUnconfirmed = event.Declare(782, zerolog.WarnLevel, "configuration is not confirmed; requests with API keys are refused")
	evConfirmed   = event.Declare(783, zerolog.InfoLevel, "configuration is confirmed; requests with API keys are served again")
)

const (
	// reportInterval is the time between two log lines on refused requests. A line for each would let callers without a
	// key fill the disk.
	reportInterval = 10 * time.Second
	// maxWaiting is the maximum number of requests that wait for the confirmation of a denial at a time, which bounds
	// their memory to that of as many connections. Further ones are answered as uncertain.
	maxWaiting = 256
)

// Callers is the plug-in.
type Callers struct {
	c      *kernel.Context
	policy Policy
	// session confirms the configuration; nil without that plug-in, whose view is then taken as current.
	session *session.Session
	// requests points to the counters by team, a map that is never modified: a change of the teams replaces it.
	requests  atomic.Pointer[map[string]*metrics.Counter]
	anonymous *metrics.Counter
	refusals  map[Reason]*metrics.Counter
	waiting   atomic.Int64
	// unconfirmed is set while requests with keys are refused for ReasonUnconfirmed.
	unconfirmed atomic.Bool

	// mu guards the fields below.
	mu *rank.Mutex
	// held is the map of callers that requests was made from.
	held map[string]*resource.Caller
	// unreported counts the refusals since the last log line, and lastRoute is the route of the last one.
	unreported map[Reason]int
	lastRoute  string
}

func newCallers(c *kernel.Context) *Callers {
	s := c.Settings.(*Settings)
	p := &Callers{
		c: c, policy: Policy{Strict: s.RevokeStrict, Within: s.RevokeWithin.AsDuration()}, mu: rank.NewMutex(rank.Callers),
		anonymous: c.Metrics.NewCounter("celeryyard_callers_anonymous_requests_total"), refusals: map[Reason]*metrics.Counter{}, unreported: map[Reason]int{},
	}
	for _, r := range reasons {
		p.refusals[r] = c.Metrics.NewCounter(fmt.Sprintf(`celeryyard_callers_refusals_total{reason=%q}`, string(r)))
	}
	if s, ok := kernel.Find[*session.Session](c, "session"); ok {
		p.session = s
	}
	p.requests.Store(&map[string]*metrics.Counter{})
	c.Metrics.NewGauge("celeryyard_callers_teams", func() float64 { return float64(len(*p.requests.Load())) })
	view := kernel.MustFind[api.View](c, "view")
	view.Watch(p.applySnapshot)
	return p
}

// Start implements kernel.Plugin.
func (p *Callers) Start(context.Context) error {
	p.c.RunEvery("callers/report", reportInterval, p.report)
	return nil
}

// Stop implements kernel.Plugin.
func (p *Callers) Stop(context.Context) error {
	p.report()
	return nil
}

// Admit decides about a request with a key, which is empty if the request has none; see Decide. It counts nothing and
// does not block.
func (p *Callers) Admit(s *resource.Snapshot, route *resource.Route, apiKey string) (caller *resource.Caller, reason Reason) {
	if len(s.Callers) == 0 {
		return nil, ""
	}
	var contact Contact
	if p.policy.Strict && apiKey != "" {
		contact = p.contact()
		if was, is := p.unconfirmed.Load(), !p.policy.mayUseKeys(contact); was != is && p.unconfirmed.CompareAndSwap(was, is) {
			p.logConfirmation(is, contact)
		}
	}
	return Decide(s, route.Anonymous, apiKey, contact, p.policy)
}

func (p *Callers) contact() Contact {
	if p.session == nil {
		return Contact{Known: true}
	}
	age, known := p.session.ConfigurationAge()
	return Contact{Age: age, Known: known}
}

func (p *Callers) logConfirmation(unconfirmed bool, c Contact) {
	ev := evConfirmed
	if unconfirmed {
		ev = evUnconfirmed
	}
	age := int64(-1) // never confirmed
	if c.Known {
		age = c.Age.Milliseconds()
	}
	p.c.Log.Log(ev).Int("confirmed_age_ms", int(age)).Send()
}

// MayDeny reports whether the configuration in force may deny a request at once. It does not block.
func (p *Callers) MayDeny(r Reason, convergeWithin time.Duration) bool {
	return p.contact().mayDeny(r, convergeWithin)
}

// ConfirmDenial blocks until the held configuration is known to have been the newest one at a time after the call, and
// reports whether that is so. After that, the view holds a configuration by which a request may be denied. It
// returns false after a part of left, the time that the caller of the request still waits, after convergeWithin, when
// ctx ends, or at once if maxWaiting requests are waiting.
func (p *Callers) ConfirmDenial(ctx context.Context, left, convergeWithin time.Duration) bool {
	if p.session == nil {
		return true
	}
	if p.waiting.Add(1) > maxWaiting {
		p.waiting.Add(-1)
		return false
	}
	defer p.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, waitLimit(left, convergeWithin))
	defer cancel()
	return p.session.AwaitConfirmation(ctx)
}

// Count counts an admitted request, for which reason is empty, or a refused one.
func (p *Callers) Count(caller *resource.Caller, route string, reason Reason) {
	if reason == "" {
		if caller == nil {
			p.anonymous.Inc()
		} else if counter := (*p.requests.Load())[caller.Name]; counter != nil {
			counter.Inc()
		}
		return
	}
	p.refusals[reason].Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreported[reason]++
	p.lastRoute = route
}

// report logs how many requests were refused since the last report.
func (p *Callers) report() {
	p.mu.Lock()
	counts, route := maps.Clone(p.unreported), p.lastRoute
	clear(p.unreported)
	p.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	line := p.c.Log.Log(evRefused)
	for _, r := range reasons {
		line = line.Int(string(r), counts[r])
	}
	line.Str("last_route", route).Send()
}

// applySnapshot replaces the counters if the calling teams have changed. The view calls it for one snapshot at a time.
func (p *Callers) applySnapshot(s *resource.Snapshot) {
	p.mu.Lock()
	same := maps.Equal(p.held, s.Callers)
	p.held = s.Callers
	p.mu.Unlock()
	if same {
		return
	}
	before, next := *p.requests.Load(), make(map[string]*metrics.Counter, len(s.Callers))
	for name := range s.Callers {
		if next[name] = before[name]; next[name] == nil {
			next[name] = p.c.Metrics.GetOrCreateCounter(metricName(name))
		}
	}
	p.requests.Store(&next)
	for name := range before {
		if next[name] == nil {
			p.c.Metrics.UnregisterMetric(metricName(name))
		}
	}
	p.c.Log.Log(evChanged).Uint("version", uint64(s.Version)).Int("teams", len(s.Callers)).Int("keys", len(s.CallersByKey)).Send()
}

func metricName(team string) string {
	return fmt.Sprintf(`celeryyard_callers_requests_total{team=%q}`, team)
}
