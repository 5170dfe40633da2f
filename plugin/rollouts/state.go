package rollouts

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// Bounds of the replicated state.
const (
	// maxServices bounds the services with a roll-out: about four times the services of the design capacity. The one whose
	// roll-out ended first goes first.
	maxServices = 2048
	// maxVersions bounds the excluded versions of a service; the oldest goes first.
	maxVersions = 16
	// maxNameBytes bounds the names of services and versions.
	maxNameBytes = 1024
	// maxPeriodMillis bounds the period of an order to a day.
	maxPeriodMillis = 24 * 60 * 60 * 1000
	// sameOrderMillis is the time after an order in which an equal one is the same order, sent again because its
	// acknowledgement was lost. Operators send an order again for at most 4 s.
	sameOrderMillis = 10_000
)

// Phase is the phase of a roll-out. Phases only follow in ascending order.
type Phase int

// Phases.
const (
	PhaseCanary Phase = iota + 1
	PhaseFullCanary
	PhaseRamp1
	PhaseRamp2
	PhaseFinishing
	PhaseCompleted
	PhaseRolledBack
)

func (p Phase) isFinal() bool { return p >= PhaseCompleted }

// Reasons why an order is refused.
var (
	ErrInProgress = errors.New("a roll-out of the service is in progress")
	errMalformed  = errors.New("log entry is not one of a roll-out")
)

// Kinds of entries.
const (
	kindOrder   = "order"
	kindAdvance = "advance"
	kindReserve = "reserve"
)

// entry is one entry of the replicated log.
type entry struct {
	Kind    string `json:"k"`
	Service string `json:"s"`
	// AtMillis is the wall time of the proposer, in Unix milliseconds, and RemainingMillis the time from then to the deadline.
	AtMillis        int64 `json:"at"`
	RemainingMillis int64 `json:"rem"`
	// Target, PeriodMillis and InForce belong to an order. InForce means that all endpoints have the target version.
	Target       string `json:"t,omitempty"`
	PeriodMillis int64  `json:"d,omitzero"`
	InForce      bool   `json:"f,omitzero"`
	// Versions lists the versions of the service's endpoints that the proposer knows.
	Versions []string `json:"v,omitempty"`
	// ID is the roll-out that an advance or a reservation belongs to.
	ID       uint64 `json:"i,omitzero"`
	Phase    Phase  `json:"p,omitzero"`
	Canaries int    `json:"c,omitzero"`
	Reason   string `json:"r,omitempty"`
	Reserved uint64 `json:"n,omitzero"`
}

func (e *entry) check() error {
	for _, name := range append([]string{e.Service}, e.Versions...) {
		if len(name) > maxNameBytes {
			return errors.Wrapf(errMalformed, "name has %d bytes, the limit is %d", len(name), maxNameBytes)
		}
	}
	valid := e.Service != "" && len(e.Versions) <= maxVersions && len(e.Reason) <= maxNameBytes && e.RemainingMillis <= maxPeriodMillis
	switch e.Kind {
	case kindOrder:
		valid = valid && e.Target != "" && len(e.Target) <= maxNameBytes && e.PeriodMillis > 0 && e.PeriodMillis <= maxPeriodMillis
	case kindAdvance:
		valid = valid && e.Phase > PhaseCanary && e.Phase <= PhaseRolledBack
	case kindReserve:
	default:
		valid = false
	}
	if !valid {
		return errors.Wrapf(errMalformed, "kind %.40q of service %.40q", e.Kind, e.Service)
	}
	return nil
}

// Rollout is the replicated state of the last roll-out of a service.
type Rollout struct {
	Service string `json:"s"`
	Target  string `json:"t"`
	// ID is the log index of the order.
	ID            uint64 `json:"i"`
	OrderedMillis int64  `json:"o"`
	PeriodMillis  int64  `json:"d"`
	// AtMillis and RemainingMillis are those of the last entry.
	AtMillis        int64 `json:"at"`
	RemainingMillis int64 `json:"rem"`
	Phase           Phase `json:"p"`
	Canaries        int   `json:"c,omitzero"`
	// Excluded lists the versions that get no requests.
	Excluded    []string `json:"x,omitempty"`
	Unversioned bool     `json:"u,omitzero"`
	// Reserved is the highest sum of the permits that may have been given.
	Reserved uint64 `json:"n,omitzero"`
	Reason   string `json:"r,omitempty"`
	// RuleIndex is the log index of the last entry that changed the rule of nodes.
	RuleIndex uint64 `json:"w"`
}

// state is the replicated state. It depends only on the applied entries.
type state struct {
	rollouts map[string]*Rollout
	// ruleIndex is the log index of the last entry that changed a rule.
	ruleIndex uint64
}

func newState() *state { return &state{rollouts: map[string]*Rollout{}} }

// apply applies an entry. It reports whether a rule has changed. The values that rollouts points to are never modified.
func (s *state) apply(index uint64, e *entry) (changed bool, err error) {
	old := s.rollouts[e.Service]
	if e.Kind == kindOrder {
		return s.applyOrder(index, e, old)
	}
	if old == nil || old.ID != e.ID || old.Phase.isFinal() {
		return false, nil // late
	}
	next := *old
	next.AtMillis, next.RemainingMillis = e.AtMillis, e.RemainingMillis
	if e.Kind == kindReserve {
		next.Reserved = max(old.Reserved, e.Reserved)
		s.rollouts[e.Service] = &next
		return false, nil
	}
	if e.Phase <= old.Phase {
		return false, nil
	}
	next.Phase, next.Reason, next.Canaries, next.RuleIndex = e.Phase, e.Reason, e.Canaries, index
	switch e.Phase {
	case PhaseCompleted:
		next.Excluded = without(append(slices.Clone(old.Excluded), e.Versions...), old.Target)
	case PhaseRolledBack:
		next.Excluded = without(append(slices.Clone(old.Excluded), old.Target))
	}
	s.rollouts[e.Service], s.ruleIndex = &next, index
	return true, nil
}

func (s *state) applyOrder(index uint64, e *entry, old *Rollout) (changed bool, err error) {
	if old != nil {
		same := old.Target == e.Target && old.PeriodMillis == e.PeriodMillis
		switch {
		case same && (!old.Phase.isFinal() || e.AtMillis-old.OrderedMillis < sameOrderMillis):
			return false, nil
		case !old.Phase.isFinal():
			return false, errors.Wrapf(ErrInProgress, "to version %.80q", old.Target)
		}
	}
	next := &Rollout{
		Service: e.Service, Target: e.Target, ID: index, OrderedMillis: e.AtMillis, PeriodMillis: e.PeriodMillis,
		AtMillis: e.AtMillis, RemainingMillis: e.PeriodMillis, Phase: PhaseCanary, RuleIndex: index, Canaries: e.Canaries,
		Unversioned: slices.Contains(e.Versions, ""),
	}
	if old != nil {
		next.Excluded = without(slices.Clone(old.Excluded), e.Target)
	}
	if e.InForce || old != nil && old.Phase == PhaseCompleted && old.Target == e.Target {
		next.Phase, next.Reason = PhaseCompleted, "in force already"
	}
	s.rollouts[e.Service], s.ruleIndex = next, index
	if len(s.rollouts) > maxServices {
		s.removeOldest()
	}
	return true, nil
}

// removeOldest removes the roll-out that ended first.
func (s *state) removeOldest() {
	oldest := ""
	for name, r := range s.rollouts {
		if r.Phase.isFinal() && (oldest == "" || r.RuleIndex < s.rollouts[oldest].RuleIndex) {
			oldest = name
		}
	}
	delete(s.rollouts, oldest)
}

// without returns the versions without repetitions and without the dropped ones, at most maxVersions.
func without(versions []string, dropped ...string) []string {
	var out []string
	for _, v := range versions {
		if !slices.Contains(dropped, v) && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out[max(0, len(out)-maxVersions):]
}

// rules returns the rules of all roll-outs for nodes, by service.
func (s *state) rules(share float64) *peerapi.Rollouts {
	out := &peerapi.Rollouts{Index: s.ruleIndex}
	for _, name := range s.names() {
		r := s.rollouts[name]
		rule := peerapi.RolloutRule{Service: name, ID: r.ID, Target: r.Target, Excluded: r.Excluded, Unversioned: r.Unversioned}
		switch {
		case r.Phase.isFinal():
			rule.Stage = peerapi.RuleDone
		case r.Phase == PhaseFinishing:
			rule.Stage = peerapi.RuleFinishing
		default:
			rule.Stage, rule.Share, rule.Canaries = peerapi.RuleActive, r.Phase.share(share), r.Canaries
		}
		out.Rules = append(out.Rules, rule)
	}
	return out
}

func (s *state) names() []string {
	names := make([]string, 0, len(s.rollouts))
	for name := range s.rollouts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

type encodedState struct {
	Format    int        `json:"format"`
	RuleIndex uint64     `json:"index"`
	Rollouts  []*Rollout `json:"rollouts"`
}

// encode returns the encoded state; nothing for the empty one. Equal states have equal encodings.
func (s *state) encode() ([]byte, error) {
	if len(s.rollouts) == 0 {
		return nil, nil
	}
	e := encodedState{Format: snapshotFormat, RuleIndex: s.ruleIndex}
	for _, name := range s.names() {
		e.Rollouts = append(e.Rollouts, s.rollouts[name])
	}
	return json.Marshal(e, json.Deterministic(true))
}

// decodeState decodes a snapshot. It refuses one that exceeds a bound or names a service twice.
func decodeState(data []byte) (*state, error) {
	s := newState()
	if len(data) == 0 {
		return s, nil
	}
	var e encodedState
	if err := json.Unmarshal(data, &e, json.RejectUnknownMembers(true)); err != nil {
		return nil, errors.Wrap(err, "snapshot of roll-outs")
	}
	if e.Format != snapshotFormat || len(e.Rollouts) > maxServices {
		return nil, errors.Newf("snapshot of roll-outs has format %d with %d services; this program reads format %d with at most %d", e.Format, len(e.Rollouts), snapshotFormat, maxServices)
	}
	for _, r := range e.Rollouts {
		if r == nil || r.Service == "" || s.rollouts[r.Service] != nil || r.Phase < PhaseCanary || r.Phase > PhaseRolledBack || len(r.Excluded) > maxVersions {
			return nil, errors.New("snapshot of roll-outs has a roll-out without service, twice, or with an invalid phase")
		}
		s.rollouts[r.Service] = r
	}
	s.ruleIndex = e.RuleIndex
	return s, nil
}
