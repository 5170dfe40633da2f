package operator

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/catalog"
)

// Page sizes of lists of records.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// freshness states how current the data of a response is.
type freshness struct {
	// Current is the configuration version that the response shows.
	Current resource.Version `json:"current_version"`
	// Stale is true if the instance could not confirm that its data is current.
	Stale bool `json:"stale"`
	// AgeMillis is the time in milliseconds since the quorum last confirmed the data; -1 for never.
	AgeMillis int64 `json:"age_ms"`
	// Notice describes the age of the data in words; it is set only if Stale is true.
	Notice string `json:"notice,omitempty"`
}

func (o *Operator) newFreshness(stale bool) freshness {
	f := freshness{Current: o.catalog.Version(), Stale: stale, AgeMillis: -1}
	if at := o.log.Status().Confirmed; !at.IsZero() {
		f.AgeMillis = max(o.c.Clock.Now().Sub(at).Milliseconds(), 0)
	}
	if stale && f.AgeMillis < 0 {
		f.Notice = "this instance is isolated and has not confirmed its data since its start"
	} else if stale {
		f.Notice = fmt.Sprintf("this instance is isolated; its data was confirmed %v ago", time.Duration(f.AgeMillis)*time.Millisecond)
	}
	return f
}

// serveRead writes the result of respond after the quorum has confirmed that the data is current.
// If the instance cannot reach the quorum within ReadTimeout, the data is marked as stale. respond
// runs in a pool job.
func (o *Operator) serveRead(e echo.Context, respond func(freshness) response) error {
	// The barrier takes up to ReadTimeout; the other half is for the wait in the job queue.
	return o.serveJob(e, 2*o.s.ReadTimeout.AsDuration(), timeoutResponse, func(reply func(response)) {
		o.log.Barrier(o.s.ReadTimeout.AsDuration(), func(err error) { reply(respond(o.newFreshness(err != nil))) })
	})
}

type templatesView struct {
	freshness
	Templates []catalog.Template `json:"templates"`
}

func (o *Operator) getTemplates(e echo.Context) error {
	return o.serveRead(e, func(f freshness) response {
		return response{http.StatusOK, templatesView{f, o.catalog.Templates()}}
	})
}

type teamsView struct {
	freshness
	Teams []catalog.Team `json:"teams"`
}

func (o *Operator) getTeams(e echo.Context) error {
	who := identityFromContext(e)
	return o.serveRead(e, func(f freshness) response {
		return response{http.StatusOK, teamsView{f, o.catalog.Teams(who.Organisation)}}
	})
}

type recordsView struct {
	freshness
	Records []change.Record `json:"records"`
	// Next is the value of the query parameter "before" for the next page. It is absent if this page
	// is not full, since no records follow then.
	Next uint64 `json:"next,omitzero"`
}

// getHistory lists accepted changes.
func (o *Operator) getHistory(e echo.Context) error {
	return o.serveRecords(e, func(r *change.Record) bool { return r.Outcome.State == change.StateAccepted })
}

// getAudit lists all decided changes, accepted or refused.
func (o *Operator) getAudit(e echo.Context) error {
	return o.serveRecords(e, func(*change.Record) bool { return true })
}

func (o *Operator) serveRecords(e echo.Context, keep func(*change.Record) bool) error {
	before, limit, err := parsePage(e)
	if err != nil {
		return writeResponse(e, errorResponse(http.StatusBadRequest, err.Error()))
	}
	who := identityFromContext(e)
	return o.serveRead(e, func(f freshness) response {
		list := o.catalog.Records(before, limit, func(r *change.Record) bool { return isVisible(r, who) && keep(r) })
		for i := range list {
			list[i] = redact(list[i], who)
		}
		v := recordsView{freshness: f, Records: list}
		if len(list) == limit {
			v.Next = list[limit-1].Seq
		}
		return response{http.StatusOK, v}
	})
}

// isVisible reports whether an operator may see a record. Operators see the records of their own
// organisation and those of templates and whole configurations, which all organisations share.
func isVisible(r *change.Record, who Identity) bool {
	return r.Organisation == who.Organisation || r.Kind == change.KindTemplate || r.Kind == change.KindConfiguration
}

// redact removes the digest from a record, because only the catalog needs it. If the record belongs
// to a different organisation than the operator, it also removes the text of the outcome, which may
// name teams and parameters of that organisation.
func redact(r change.Record, who Identity) change.Record {
	r.Digest = ""
	if r.Organisation != who.Organisation {
		r.Outcome.Text = ""
	}
	return r
}

func parsePage(e echo.Context) (beforeSeq uint64, pageSize int, err error) {
	pageSize = defaultPageSize
	if s := e.QueryParam("before"); s != "" {
		if beforeSeq, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("before: %.40q is not a number", s)
		}
	}
	if s := e.QueryParam("limit"); s != "" {
		if pageSize, err = strconv.Atoi(s); err != nil || pageSize < 1 || pageSize > maxPageSize {
			return 0, 0, fmt.Errorf("limit: %.40q is not a number in 1..%d", s, maxPageSize)
		}
	}
	return beforeSeq, pageSize, nil
}

type statusView struct {
	freshness
	Quorum api.QuorumStatus `json:"quorum"`
	// Fleet is absent if the program does not contain the plug-in "distribution".
	Fleet []api.InstanceStatus `json:"fleet,omitempty"`
}

// getStatus responds with the state of this instance and of the fleet. It does not wait for a
// barrier, so that an isolated instance shows its state at once.
func (o *Operator) getStatus(e echo.Context) error {
	return o.serveJob(e, 2*o.s.ReadTimeout.AsDuration(), timeoutResponse, func(reply func(response)) {
		respond := func(fleet []api.InstanceStatus) {
			v := statusView{freshness: o.newFreshness(o.isIsolated()), Quorum: o.log.Status(), Fleet: fleet}
			reply(response{http.StatusOK, v})
		}
		if o.fleet == nil {
			respond(nil)
			return
		}
		o.fleet.Status(o.s.ReadTimeout.AsDuration(), respond)
	})
}

// isIsolated reports whether the quorum has never confirmed the data, or last confirmed it more
// than StaleAfter ago.
func (o *Operator) isIsolated() bool {
	at := o.log.Status().Confirmed
	return at.IsZero() || o.c.Clock.Now().Sub(at) > o.s.StaleAfter.AsDuration()
}
