package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// tabular is a response that can be printed as a table.
type tabular interface{ writeColumns(w io.Writer) }

// print writes v in the format of --output. raw is the body of the server's response, or nil if v
// does not come from a server.
func (a *app) print(v any, raw []byte) error {
	if a.flags.Output == "json" {
		var err error
		if raw == nil {
			if raw, err = json.Marshal(v); err != nil {
				return err
			}
		}
		text := jsontext.Value(raw)
		if err := text.Indent(jsontext.WithIndent("  ")); err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.stdout, "%s\n", text)
		return err
	}
	w := tabwriter.NewWriter(a.stdout, 0, 8, 2, ' ', 0)
	if out, ok := v.(*change.Outcome); ok {
		printOutcome(w, out)
	} else {
		v.(tabular).writeColumns(w)
	}
	return w.Flush()
}

func printOutcome(w io.Writer, out *change.Outcome) {
	fmt.Fprintf(w, "change\t%s\nstate\t%s\n", out.ID, out.State)
	if out.Version > 0 {
		fmt.Fprintf(w, "version\t%d\n", out.Version)
	}
	if out.Revision > 0 {
		fmt.Fprintf(w, "revision\t%d\n", out.Revision)
	}
	if out.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", out.Reason)
	}
	if out.Text != "" {
		fmt.Fprintf(w, "text\t%s\n", out.Text)
	}
}

// freshness holds the fields of a response that state how current its data is.
type freshness struct {
	// Current is the newest version that the instance has applied.
	Current resource.Version `json:"current_version"`
	// Stale is true if the instance could not confirm that its data is current.
	Stale bool `json:"stale"`
	// AgeMillis is the time in milliseconds since a quorum last confirmed the data; -1 means never.
	AgeMillis int64 `json:"age_ms"`
	// Notice explains stale data to the operator.
	Notice string `json:"notice"`
}

func (f *freshness) writeNotice(w io.Writer) {
	if f.Stale {
		fmt.Fprintf(w, "STALE: %s\n", f.Notice)
	}
}

type templatesView struct {
	freshness
	Templates []struct {
		Template resource.Template `json:"template"`
		Revision uint64            `json:"revision"`
	} `json:"templates"`
}

func (v *templatesView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintln(w, "TEMPLATE\tREVISION\tPARAMETERS\tROUTES\tCLUSTERS")
	for _, t := range v.Templates {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", t.Template.Name, t.Revision, len(t.Template.Parameters), len(t.Template.Routes), len(t.Template.Clusters))
	}
}

type teamsView struct {
	freshness
	Teams []struct {
		Team     resource.Team      `json:"team"`
		Revision uint64             `json:"revision"`
		Routes   []resource.Route   `json:"routes"`
		Clusters []resource.Cluster `json:"clusters"`
	} `json:"teams"`
}

func (v *teamsView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintln(w, "TEAM\tREVISION\tTEMPLATE\tROUTES\tCLUSTERS")
	for _, t := range v.Teams {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\n", t.Team.Name, t.Revision, t.Team.Template, len(t.Routes), len(t.Clusters))
	}
}

type recordsView struct {
	freshness
	Records []change.Record `json:"records"`
	// Next is the value of --before for the next page; 0 if there is none.
	Next uint64 `json:"next"`
}

func (v *recordsView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintln(w, "SEQ\tTIME\tOPERATOR\tORGANISATION\tACTION\tNAME\tSTATE\tVERSION\tREASON\tCHANGE")
	for _, r := range v.Records {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s %s\t%s\t%s\t%d\t%s\t%s\n", r.Seq, time.UnixMilli(r.Time).UTC().Format(time.RFC3339),
			r.Operator, r.Organisation, r.Kind, r.Action, r.Name, r.Outcome.State, r.Outcome.Version, r.Outcome.Reason, r.Outcome.ID)
	}
	if v.Next > 0 {
		fmt.Fprintf(w, "more: --before %d\n", v.Next)
	}
}

type statusView struct {
	freshness
	Quorum api.QuorumStatus     `json:"quorum"`
	Fleet  []api.InstanceStatus `json:"fleet"`
}

func (v *statusView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintf(w, "version\t%d\nage of knowledge\t%d ms\nrole\t%s\nleader\t%s\nterm\t%d\nvoters\t%s\nlearners\t%s\n", v.Current, v.AgeMillis,
		v.Quorum.Role, v.Quorum.Leader, v.Quorum.Term, strings.Join(v.Quorum.Voters, ", "), strings.Join(v.Quorum.Learners, ", "))
	if len(v.Fleet) == 0 {
		return
	}
	fmt.Fprintln(w, "\nINSTANCE\tAZ\tREACHABLE\tLEADER\tVERSION\tAGE\tNODES\tBEHIND\tLOWEST\tUNSEEN")
	for _, i := range v.Fleet {
		if !i.Reachable {
			fmt.Fprintf(w, "%s\t%s\tfalse\t-\t-\t-\t-\t-\t-\t%d\n", i.Instance, i.AvailabilityZone, i.Unseen)
			continue
		}
		age := "never"
		if i.AgeMillis >= 0 {
			age = fmt.Sprintf("%d ms", i.AgeMillis)
		}
		fmt.Fprintf(w, "%s\t%s\ttrue\t%t\t%d\t%s\t%d\t%d\t%d\t%d\n", i.Instance, i.AvailabilityZone, i.Leader, i.Version, age, i.Nodes, i.Behind, i.LowestVersion, i.Unseen)
	}
	for _, i := range v.Fleet {
		if i.Behind > 0 {
			fmt.Fprintf(w, "behind at %s: %s\n", i.Instance, joinNames(i.BehindNodes, i.Behind))
		}
		if i.Ahead > 0 {
			fmt.Fprintf(w, "ahead at %s: %d nodes hold a version above %d; if this persists, they hold the configuration of another group\n", i.Instance, i.Ahead, i.Version)
		}
		if i.Unseen > 0 {
			fmt.Fprintf(w, "last served by %s and seen nowhere: %s\n", i.Instance, joinNames(i.UnseenNodes, i.Unseen))
		}
	}
}

// joinNames joins names for output. If total is larger than the number of names, it appends how many
// are not shown.
func joinNames(shown []string, total int) string {
	if more := total - len(shown); more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(shown, ", "), more)
	}
	return strings.Join(shown, ", ")
}

type routeView struct {
	freshness
	Found     bool                `json:"found"`
	Text      string              `json:"text"`
	Route     *resource.Route     `json:"route"`
	Cluster   *resource.Cluster   `json:"cluster"`
	Endpoints []resource.Endpoint `json:"endpoints"`
	// KeyRequired means that a request of the route must carry an API key.
	KeyRequired bool        `json:"key_required"`
	Caller      *callerView `json:"caller"`
	Costs       []struct {
		Service string `json:"service"`
		Millis  int64  `json:"ms"`
	} `json:"expected_work"`
}

func (v *routeView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	if !v.Found {
		fmt.Fprintln(w, v.Text)
		return
	}
	r, c := v.Route, v.Cluster
	fmt.Fprintf(w, "route\t%s\nhost\t%s\npath prefix\t%s\nmethods\t%s\ntimeout\t%v\nattempts\t%d\n", r.Name, r.Match.Host, r.Match.PathPrefix,
		strings.Join(r.Match.Methods, ", "), r.Timeout(), r.MaxAttempts)
	if c != nil && len(r.Split) == 0 {
		fmt.Fprintf(w, "cluster\t%s\nservice\t%s\nretry budget\t%d %%\n", c.Name, c.Service, c.RetryBudgetPercent)
	}
	for _, p := range r.Split {
		fmt.Fprintf(w, "part\t%s, weight %d\n", p.Cluster, p.Weight)
	}
	if v.KeyRequired {
		fmt.Fprintln(w, "API key\trequired")
	}
	if v.Caller != nil {
		fmt.Fprintf(w, "calling team\t%s, priority %d, limit %s\n", v.Caller.Name, v.Caller.Priority, v.Caller.limitText())
	}
	for _, c := range v.Costs {
		fmt.Fprintf(w, "expected work\t%d ms at %s\n", c.Millis, c.Service)
	}
	fmt.Fprintf(w, "why\t%s\n", v.Text)
	if len(v.Endpoints) == 0 {
		return
	}
	fmt.Fprintln(w, "\nNODE\tAZ\tADDRESS\tSTATE\tSLOTS\tSTALE")
	for _, e := range v.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", e.Node, e.AvailabilityZone, e.Address, e.State, e.Slots, e.Stale)
	}
}

type refusalView struct {
	freshness
	Record change.Record `json:"record"`
	Advice string        `json:"advice"`
}

func (v *refusalView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	r := &v.Record
	fmt.Fprintf(w, "operator\t%s\naction\t%s %s %s\ntime\t%s\n", r.Operator, r.Kind, r.Action, r.Name, time.UnixMilli(r.Time).UTC().Format(time.RFC3339))
	printOutcome(w, &r.Outcome)
	if v.Advice != "" {
		fmt.Fprintf(w, "advice\t%s\n", v.Advice)
	}
}
