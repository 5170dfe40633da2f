package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/kernel"
)

// maxPageRecords is the maximum number of records that a server returns in one page.
const maxPageRecords = 1000

type noFlags struct{}

type idFlags struct {
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

type pageFlags struct {
	Before uint64 `long:"before" value-name:"N" description:"show records below this number"`
	Limit  int    `long:"limit" value-name:"N" default:"50" description:"show at most this many records, 1 to 1000"`
}

type explainFlags struct {
	Method string `long:"method" default:"GET" description:"method of the request to explain"`
	Host   string `long:"host" description:"host of the request to explain"`
	Path   string `long:"path" default:"/" description:"path of the request to explain"`
	Caller string `long:"caller" value-name:"TEAM" description:"calling team of the request to explain"`
	Change string `long:"change" value-name:"ID" description:"explain the decision of this change instead"`
}

func init() {
	newNoFlags := func() any { return &noFlags{} }
	register(command{path: "template list", summary: "List the templates", options: newNoFlags, run: newReadCommand[templatesView]("/v1/templates")})
	register(command{path: "team list", summary: "List the teams of the operator's organisation", options: newNoFlags, run: newReadCommand[teamsView]("/v1/teams")})
	register(command{path: "status", summary: "Show the state of the fleet", options: newNoFlags, run: newReadCommand[statusView]("/v1/status")})
	register(command{path: "change status", summary: "Show the decision of a change", options: func() any { return &idFlags{} }, run: showChangeStatus})
	register(command{path: "history", summary: "List accepted changes, newest first", options: func() any { return &pageFlags{} }, run: newRecordsCommand("/v1/history")})
	register(command{path: "audit", summary: "List decided changes, newest first", options: func() any { return &pageFlags{} }, run: newRecordsCommand("/v1/audit")})
	register(command{path: "explain", summary: "Explain the route of a request, or the refusal of a change", options: func() any { return &explainFlags{} }, run: explainRequestOrChange})
}

// newReadCommand returns the run function of a command that fetches path and prints the response as
// a T.
func newReadCommand[T any, P interface {
	*T
	tabular
}](path string) func(context.Context, *app, any) error {
	return func(ctx context.Context, a *app, _ any) error { return readAndPrint[T, P](ctx, a, path) }
}

// readAndPrint fetches path and prints the response as a T.
func readAndPrint[T any, P interface {
	*T
	tabular
}](ctx context.Context, a *app, path string) error {
	var v T
	raw, err := a.client.get(ctx, path, &v)
	if err != nil {
		return err
	}
	return a.print(P(&v), raw)
}

// newRecordsCommand returns the run function of a command that prints a page of records.
func newRecordsCommand(path string) func(context.Context, *app, any) error {
	return func(ctx context.Context, a *app, options any) error {
		o := options.(*pageFlags)
		if o.Limit < 1 || o.Limit > maxPageRecords {
			return newExitErrorf(kernel.ExitUsage, "--limit: %d is not in 1..%d", o.Limit, maxPageRecords)
		}
		return readAndPrint[recordsView](ctx, a, fmt.Sprintf("%s?before=%d&limit=%d", path, o.Before, o.Limit))
	}
}

func explainRequestOrChange(ctx context.Context, a *app, options any) error {
	o := options.(*explainFlags)
	if o.Change != "" {
		return readAndPrint[refusalView](ctx, a, "/v1/explain?"+url.Values{"change": {o.Change}}.Encode())
	}
	if o.Host == "" {
		return newExitErrorf(kernel.ExitUsage, "either --host or --change is required")
	}
	query := url.Values{"method": {o.Method}, "host": {o.Host}, "path": {o.Path}}
	if o.Caller != "" {
		query.Set("caller", o.Caller)
	}
	return readAndPrint[routeView](ctx, a, "/v1/explain?"+query.Encode())
}

// showChangeStatus prints the decision on a change. The error that it returns sets the exit code that
// belongs to the decision. A change without a known decision counts as undecided, since it may still
// be in flight.
func showChangeStatus(ctx context.Context, a *app, options any) error {
	id := options.(*idFlags).Args.ID
	var lastErr error
	for attempt := 0; ; attempt++ {
		r, err := a.client.send(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil)
		if err == nil && r.code != http.StatusServiceUnavailable {
			var out change.Outcome
			if json.Unmarshal(r.body, &out) != nil || out.State == "" {
				return r.toError()
			}
			if err := a.print(&out, r.body); err != nil {
				return err
			}
			return newStateExitError(out.State)
		}
		lastErr = err
		if err == nil {
			lastErr = r.toError()
		}
		if !a.client.waitForNextAttempt(ctx, attempt) {
			return lastErr
		}
	}
}

func newStateExitError(s change.State) error {
	switch s {
	case change.StateAccepted:
		return nil
	case change.StateRefused:
		return &exitError{code: kernel.ExitRefused}
	}
	return &exitError{code: kernel.ExitOutcomeUnknown}
}
