package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/tailscale/hujson"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/kernel"
)

// maxFileBytes bounds the file of a template or team, including comments. A larger file is not read,
// and the command fails.
const maxFileBytes = 1 << 20

// changeFlags holds the options of all commands that submit a change.
type changeFlags struct {
	ID   string `long:"id" value-name:"ID" description:"change ID; the same one must be given to send a change again (default: a new one, which is printed)"`
	Wait bool   `long:"wait" description:"wait until the change is in force on every node"`
}

type putFlags struct {
	changeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"file with the body, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

type reviseFlags struct {
	changeFlags
	Expected uint64 `long:"expected-revision" value-name:"N" required:"yes" description:"revision that the change replaces"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"file with the body, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

type withdrawFlags struct {
	changeFlags
	Expected uint64 `long:"expected-revision" value-name:"N" required:"yes" description:"revision that the change withdraws"`
	Args     struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	for _, kind := range []change.Kind{change.KindTemplate, change.KindTeam} {
		register(command{
			path: string(kind) + " put", summary: "Put a new " + string(kind), options: func() any { return &putFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*putFlags)
				req := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionPut}
				return a.submitFile(ctx, req, o.Args.File, o.Wait)
			},
		})
		register(command{
			path: string(kind) + " revise", summary: "Replace a " + string(kind), options: func() any { return &reviseFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*reviseFlags)
				req := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionRevise, ExpectedRevision: o.Expected}
				return a.submitFile(ctx, req, o.Args.File, o.Wait)
			},
		})
		register(command{
			path: string(kind) + " withdraw", summary: "Withdraw a " + string(kind), options: func() any { return &withdrawFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*withdrawFlags)
				req := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionWithdraw, Name: o.Args.Name, ExpectedRevision: o.Expected}
				return a.submit(ctx, req, o.Wait)
			},
		})
	}
}

// submitFile submits a change whose name and body come from a file.
func (a *app) submitFile(ctx context.Context, req *change.Change, path string, wait bool) error {
	text, err := readFile(path, maxFileBytes)
	if err != nil {
		return err
	}
	body, err := hujson.Minimize(text)
	if err != nil {
		return newExitErrorf(kernel.ExitUsage, "%s: %v", path, err)
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &named); err != nil {
		return newExitErrorf(kernel.ExitUsage, "%s: %v", path, err)
	}
	req.Name, req.Body = named.Name, body
	return a.submit(ctx, req, wait)
}

func (a *app) submit(ctx context.Context, req *change.Change, wait bool) error {
	if req.ID == "" {
		id, err := newID()
		if err != nil {
			return err
		}
		req.ID = id
		// The ID is printed before the first attempt, so that it is known even after a crash.
		fmt.Fprintf(a.stderr, "change ID: %s\n", id)
	}
	out, err := a.client.submit(ctx, req)
	if err != nil {
		var ee *exitError
		if errors.As(err, &ee) && ee.code == kernel.ExitOutcomeUnknown {
			_ = a.print(&change.Outcome{ID: req.ID, State: change.StateUndecided}, nil) // err reports the same outcome
		}
		return err
	}
	if err := a.print(out, nil); err != nil {
		return err
	}
	if out.State == change.StateRefused {
		return &exitError{code: kernel.ExitRefused}
	}
	if !wait {
		return nil
	}
	return a.waitUntilInForce(ctx, uint64(out.Version))
}
