package main

import (
	"fmt"
	"io"
	"strings"
)

func init() {
	register(command{
		path: "teams", summary: "Show the calling teams and the use of their limits", options: func() any { return &noFlags{} },
		run: newReadCommand[callersView]("/v1/callers"),
	})
}

// callerView is a calling team as the server shows it.
type callerView struct {
	Name          string  `json:"name"`
	Keys          int     `json:"keys"`
	Priority      int     `json:"priority"`
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
}

func (v *callerView) limitText() string {
	if v.RatePerSecond <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g/s, burst %g", v.RatePerSecond, v.Burst)
}

type callersView struct {
	freshness
	Teams []struct {
		callerView
		Demand   float64 `json:"demand_per_s"`
		Admitted float64 `json:"admitted_per_s"`
		Shares   []struct {
			Instance      string  `json:"instance"`
			RatePerSecond float64 `json:"rate_per_s"`
		} `json:"shares"`
	} `json:"teams"`
	Silent []string `json:"silent_instances"`
}

func (v *callersView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintln(w, "TEAM\tKEYS\tPRIORITY\tLIMIT\tDEMAND/S\tADMITTED/S\tSHARES/S")
	for i := range v.Teams {
		t := &v.Teams[i]
		if t.RatePerSecond <= 0 { // requests of teams without a limit are not counted
			fmt.Fprintf(w, "%s\t%d\t%d\tnone\t-\t-\t-\n", t.Name, t.Keys, t.Priority)
			continue
		}
		var shares []string
		for _, s := range t.Shares {
			shares = append(shares, fmt.Sprintf("%s %.1f", s.Instance, s.RatePerSecond))
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.1f\t%.1f\t%s\n", t.Name, t.Keys, t.Priority, t.limitText(), t.Demand, t.Admitted, strings.Join(shares, ", "))
	}
	if len(v.Silent) > 0 {
		fmt.Fprintf(w, "no answer from %s; what their nodes use is missing\n", strings.Join(v.Silent, ", "))
	}
}
