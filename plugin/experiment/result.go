package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Result is the result of all scenarios of a run.
type Result struct {
	Settings Settings `json:"settings"`
	Rows     []Row    `json:"rows"`
	// Errors lists the scenarios that failed, each with its error.
	Errors []string `json:"errors"`
	// OK is true if no scenario failed and all figures are within their limits.
	OK bool `json:"ok"`
}

// Row is one measured figure.
type Row struct {
	Scenario string `json:"scenario"`
	// Case names the conditions, such as "60 nodes, quiet".
	Case string `json:"case"`
	// Variant names the compared alternative, such as "baseline coalesce=0s".
	Variant string `json:"variant"`
	// Figure names what was measured, such as "convergence p99".
	Figure string  `json:"figure"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	// Limit is the maximum value that meets the target; 0 means that there is no target.
	Limit float64 `json:"limit,omitzero"`
	// Samples is the number of measurements from which the value was computed.
	Samples int `json:"samples"`
}

// IsWithinLimit reports whether the row has no limit or its value does not exceed the limit.
func (r *Row) IsWithinLimit() bool { return r.Limit == 0 || r.Value <= r.Limit }

// WriteTable writes the rows and the errors as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tCASE\tVARIANT\tFIGURE\tVALUE\tUNIT\tLIMIT\tSAMPLES")
	for i := range r.Rows {
		row := &r.Rows[i]
		limit := "-"
		switch {
		case row.Limit != 0 && row.IsWithinLimit():
			limit = fmt.Sprintf("%g ok", row.Limit)
		case row.Limit != 0:
			limit = fmt.Sprintf("%g EXCEEDED", row.Limit)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%d\n",
			row.Scenario, row.Case, row.Variant, row.Figure, row.Value, row.Unit, limit, row.Samples)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(t, "error: %s\n", e)
	}
	return t.Flush()
}
