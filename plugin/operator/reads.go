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

// Bounds of pages of records.
const (
	defaultPage = 100
	maxPage     = 1000
)

// freshness tells how current the data of a response is.
type freshness struct {
	// Current is the version that the response shows.
	Current resource.Version `json:"current_version"`
	// Stale is true when the instance could not confirm that its data is current.
	Stale bool `json:"stale"`
	// AgeMillis is the time since the last confirmation by the quorum; -1 for never.
	AgeMillis int64 `json:"age_ms"`
	// Notice is a statement about the age, given when Stale.
	Notice string `json:"notice,omitempty"`
}

func (o *Operator) fresh(stale bool) freshness {
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

// read answers from data that is current, or says that it is not when the
// instance cannot reach the quorum. show runs in a job.
func (o *Operator) read(e echo.Context, show func(freshness) answer) error {
	// The barrier's own bound ends first; the rest is for the job queue.
	return o.await(e, 2*o.s.ReadTimeout.D(), slow, func(reply func(answer)) {
		o.log.Barrier(o.s.ReadTimeout.D(), func(err error) { reply(show(o.fresh(err != nil))) })
	})
}

type templatesView struct {
	freshness
	Templates []catalog.Template `json:"templates"`
}

func (o *Operator) getTemplates(e echo.Context) error {
	return o.read(e, func(f freshness) answer {
		return answer{http.StatusOK, templatesView{f, o.catalog.Templates()}}
	})
}

type teamsView struct {
	freshness
	Teams []catalog.Team `json:"teams"`
}

func (o *Operator) getTeams(e echo.Context) error {
	who := identity(e)
	return o.read(e, func(f freshness) answer {
		return answer{http.StatusOK, teamsView{f, o.catalog.Teams(who.Organisation)}}
	})
}

type recordsView struct {
	freshness
	Records []change.Record `json:"records"`
	// Next is the value of "before" for the next page; 0 at the end.
	Next uint64 `json:"next,omitzero"`
}

// getHistory lists accepted changes, getAudit all decided ones.
func (o *Operator) getHistory(e echo.Context) error {
	return o.records(e, func(r *change.Record) bool { return r.Outcome.State == change.StateAccepted })
}

func (o *Operator) getAudit(e echo.Context) error {
	return o.records(e, func(*change.Record) bool { return true })
}

func (o *Operator) records(e echo.Context, keep func(*change.Record) bool) error {
	before, limit, err := page(e)
	if err != nil {
		return write(e, fail(http.StatusBadRequest, err.Error()))
	}
	who := identity(e)
	return o.read(e, func(f freshness) answer {
		list := o.catalog.Records(before, limit, func(r *change.Record) bool { return visible(r, who) && keep(r) })
		for i := range list {
			list[i] = redact(list[i], who)
		}
		v := recordsView{freshness: f, Records: list}
		if len(list) == limit {
			v.Next = list[limit-1].Seq
		}
		return answer{http.StatusOK, v}
	})
}

// visible reports whether an operator may see a record: those of the own
// organisation and those of templates and whole configurations, which are shared.
func visible(r *change.Record, who Identity) bool {
	return r.Organisation == who.Organisation || r.Kind == change.KindTemplate || r.Kind == change.KindConfiguration
}

// redact removes the text of another organisation's refusal, which may name its
// teams and parameters, and the digest, which is of use to the catalog only.
func redact(r change.Record, who Identity) change.Record {
	r.Digest = ""
	if r.Organisation != who.Organisation {
		r.Outcome.Text = ""
	}
	return r
}

func page(e echo.Context) (before uint64, limit int, err error) {
	limit = defaultPage
	if s := e.QueryParam("before"); s != "" {
		if before, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("before: %.40q is not a number", s)
		}
	}
	if s := e.QueryParam("limit"); s != "" {
		if limit, err = strconv.Atoi(s); err != nil || limit < 1 || limit > maxPage {
			return 0, 0, fmt.Errorf("limit: %.40q is not a number in 1..%d", s, maxPage)
		}
	}
	return before, limit, nil
}

type statusView struct {
	freshness
	Quorum api.QuorumStatus `json:"quorum"`
	// Fleet is absent when the program does not gather it.
	Fleet []api.InstanceStatus `json:"fleet,omitempty"`
}

// getStatus answers without a barrier, so that it shows an isolated instance as it is.
func (o *Operator) getStatus(e echo.Context) error {
	return o.await(e, 2*o.s.ReadTimeout.D(), slow, func(reply func(answer)) {
		show := func(fleet []api.InstanceStatus) {
			v := statusView{freshness: o.fresh(o.isolated()), Quorum: o.log.Status(), Fleet: fleet}
			reply(answer{http.StatusOK, v})
		}
		if o.fleet == nil {
			show(nil)
			return
		}
		o.fleet.Status(o.s.ReadTimeout.D(), show)
	})
}

// isolated reports whether the last confirmation by the quorum is too old.
func (o *Operator) isolated() bool {
	at := o.log.Status().Confirmed
	return at.IsZero() || o.c.Clock.Now().Sub(at) > o.s.StaleAfter.D()
}
