package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/tailscale/hujson"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/kernel"
)

// maxFile bounds a template or team file with its comments.
const maxFile = 1 << 20

// changeFlags are the options of every command that changes something.
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
			path: string(kind) + " put", short: "Put a new " + string(kind), options: func() any { return &putFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*putFlags)
				q := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionPut}
				return a.submitFile(ctx, q, o.Args.File, o.Wait)
			},
		})
		register(command{
			path: string(kind) + " revise", short: "Replace a " + string(kind), options: func() any { return &reviseFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*reviseFlags)
				q := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionRevise, ExpectedRevision: o.Expected}
				return a.submitFile(ctx, q, o.Args.File, o.Wait)
			},
		})
		register(command{
			path: string(kind) + " withdraw", short: "Withdraw a " + string(kind), options: func() any { return &withdrawFlags{} },
			run: func(ctx context.Context, a *app, options any) error {
				o := options.(*withdrawFlags)
				q := &change.Change{ID: o.ID, Kind: kind, Action: change.ActionWithdraw, Name: o.Args.Name, ExpectedRevision: o.Expected}
				return a.submit(ctx, q, o.Wait)
			},
		})
	}
}

// submitFile submits a change whose body and name are in a file.
func (a *app) submitFile(ctx context.Context, q *change.Change, path string, wait bool) error {
	info, err := os.Stat(path)
	if err != nil {
		return exitf(kernel.ExitUsage, "%v", err)
	}
	if info.Size() > maxFile {
		return exitf(kernel.ExitUsage, "%s: %d bytes are above the limit of %d", path, info.Size(), maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return exitf(kernel.ExitUsage, "%v", err)
	}
	body, err := hujson.Minimize(text)
	if err != nil {
		return exitf(kernel.ExitUsage, "%s: %v", path, err)
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &named); err != nil {
		return exitf(kernel.ExitUsage, "%s: %v", path, err)
	}
	q.Name, q.Body = named.Name, body
	return a.submit(ctx, q, wait)
}

func (a *app) submit(ctx context.Context, q *change.Change, wait bool) error {
	if q.ID == "" {
		id, err := newID()
		if err != nil {
			return err
		}
		q.ID = id
		// Printed before the first attempt, so that it is known after a crash too.
		fmt.Fprintf(a.stderr, "change ID: %s\n", id)
	}
	out, err := a.client.submit(ctx, q)
	if err != nil {
		var ee *exitError
		if errors.As(err, &ee) && ee.code == kernel.ExitUndecided {
			_ = a.print(&change.Outcome{ID: q.ID, State: change.StateUndecided}, nil) // the error says the same
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
	return a.waitInForce(ctx, uint64(out.Version))
}
