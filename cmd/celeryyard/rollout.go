package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/kernel"
)

type rolloutFlags struct {
	Period string `long:"period" value-name:"DURATION" required:"yes" description:"time within which the roll-out must end, such as 10m"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE"`
		Version string `positional-arg-name:"VERSION" description:"version that all traffic of the service moves to"`
	} `positional-args:"yes" required:"yes"`
}

type serviceFlags struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register(command{path: "rollout start", summary: "Move the traffic of a service to a version", options: func() any { return &rolloutFlags{} }, run: startRollout})
	register(command{
		path: "rollout status", summary: "Show the last roll-out of a service", options: func() any { return &serviceFlags{} },
		run: func(ctx context.Context, a *app, options any) error {
			return readAndPrint[rolloutView](ctx, a, "/v1/rollouts/"+url.PathEscape(options.(*serviceFlags).Args.Service))
		},
	})
}

// rolloutView is a roll-out as the server shows it.
type rolloutView struct {
	freshness
	Service   string `json:"service"`
	Target    string `json:"target_version"`
	State     string `json:"state"`
	Phase     int    `json:"phase"`
	Permitted uint64 `json:"permitted_requests"`
	Reason    string `json:"reason"`
}

func (v *rolloutView) writeColumns(w io.Writer) {
	v.writeNotice(w)
	fmt.Fprintf(w, "service\t%s\ntarget version\t%s\nstate\t%s\nphase\t%d\npermitted requests\t%d\n", v.Service, v.Target, v.State, v.Phase, v.Permitted)
	if v.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", v.Reason)
	}
}

// startRollout sends an order until it is decided or ctx ends. An order that is sent again is the same one.
func startRollout(ctx context.Context, a *app, options any) error {
	o := options.(*rolloutFlags)
	body, err := json.Marshal(map[string]string{"service": o.Args.Service, "target_version": o.Args.Version, "period": o.Period})
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		r, err := a.client.send(ctx, http.MethodPost, "/v1/rollouts", body)
		if err == nil && r.code == http.StatusOK {
			var v rolloutView
			if _, err := r.decode(&v); err != nil {
				return err
			}
			return a.print(&v, r.body)
		}
		if err == nil {
			if err = r.toError(); r.code < http.StatusInternalServerError {
				return newExitErrorf(kernel.ExitRefused, "%v", err)
			}
		}
		if !a.client.waitForNextAttempt(ctx, attempt) {
			return newExitErrorf(kernel.ExitOutcomeUnknown, "the order is undecided: %v; run the same command again", err)
		}
	}
}
