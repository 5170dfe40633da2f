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

// maxPage is the limit of the servers for one page of records.
const maxPage = 1000

type statusFlags struct{}

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
	Change string `long:"change" value-name:"ID" description:"explain the decision of this change instead"`
}

func init() {
	none := func() any { return &statusFlags{} }
	register(command{path: "template list", short: "List the templates", options: none, run: show[templatesView]("/v1/templates")})
	register(command{path: "team list", short: "List the teams of the operator's organisation", options: none, run: show[teamsView]("/v1/teams")})
	register(command{path: "status", short: "Show the state of the fleet", options: none, run: show[statusView]("/v1/status")})
	register(command{path: "change status", short: "Show the decision of a change", options: func() any { return &idFlags{} }, run: changeStatus})
	register(command{path: "history", short: "List accepted changes, newest first", options: func() any { return &pageFlags{} }, run: records("/v1/history")})
	register(command{path: "audit", short: "List decided changes, newest first", options: func() any { return &pageFlags{} }, run: records("/v1/audit")})
	register(command{path: "explain", short: "Explain the route of a request, or a refusal", options: func() any { return &explainFlags{} }, run: explain})
}

// show returns a command that reads path and prints the answer of type T.
func show[T any, P interface {
	*T
	table
}](path string) func(context.Context, *app, any) error {
	return func(ctx context.Context, a *app, _ any) error { return read[T, P](ctx, a, path) }
}

func read[T any, P interface {
	*T
	table
}](ctx context.Context, a *app, path string) error {
	var v T
	raw, err := a.client.get(ctx, path, &v)
	if err != nil {
		return err
	}
	return a.print(P(&v), raw)
}

func records(path string) func(context.Context, *app, any) error {
	return func(ctx context.Context, a *app, options any) error {
		o := options.(*pageFlags)
		if o.Limit < 1 || o.Limit > maxPage {
			return exitf(kernel.ExitUsage, "--limit: %d is not in 1..%d", o.Limit, maxPage)
		}
		return read[recordsView](ctx, a, fmt.Sprintf("%s?before=%d&limit=%d", path, o.Before, o.Limit))
	}
}

func explain(ctx context.Context, a *app, options any) error {
	o := options.(*explainFlags)
	if o.Change != "" {
		return read[refusalView](ctx, a, "/v1/explain?"+url.Values{"change": {o.Change}}.Encode())
	}
	if o.Host == "" {
		return exitf(kernel.ExitUsage, "either --host or --change is required")
	}
	return read[routeView](ctx, a, "/v1/explain?"+url.Values{"method": {o.Method}, "host": {o.Host}, "path": {o.Path}}.Encode())
}

// changeStatus exits with the code of the decision. A change without a known
// decision is undecided: it may still be on its way.
func changeStatus(ctx context.Context, a *app, options any) error {
	id := options.(*idFlags).Args.ID
	var last error
	for attempt := 0; ; attempt++ {
		r, err := a.client.send(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil)
		if err == nil && r.code != http.StatusServiceUnavailable {
			var out change.Outcome
			if json.Unmarshal(r.body, &out) != nil || out.State == "" {
				return r.failure()
			}
			if err := a.print(&out, r.body); err != nil {
				return err
			}
			return exitOf(out.State)
		}
		last = err
		if err == nil {
			last = r.failure()
		}
		if !a.client.next(ctx, attempt) {
			return last
		}
	}
}

func exitOf(s change.State) error {
	switch s {
	case change.StateAccepted:
		return nil
	case change.StateRefused:
		return &exitError{code: kernel.ExitRefused}
	}
	return &exitError{code: kernel.ExitUndecided}
}
