package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/celeryyard/celeryyard/core/lint"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
)

// maxConfigurationFileBytes bounds the file of a whole configuration, including comments. A larger file is not read, and the
// command fails.
const maxConfigurationFileBytes = 4 * resource.MaxConfigurationBytes

type configCheckFlags struct {
	Against string `long:"against" value-name:"FILE" description:"file with the configuration in force, instead of that of a control instance"`
	Strict  bool   `long:"strict" description:"exit with code 3 also for warnings"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"file with a whole configuration, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register(command{
		path: "config check", summary: "Check a whole configuration before it is sent", options: func() any { return &configCheckFlags{} },
		local: true, // it needs a control instance only if --server is given
		run: func(ctx context.Context, a *app, options any) error {
			return a.checkConfiguration(ctx, options.(*configCheckFlags))
		},
	})
}

// checkView is the output of the command.
type checkView struct {
	File     string         `json:"file"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings []lint.Finding `json:"findings"`
	// Source says where the configuration in force was read; empty if there was nothing to compare with.
	Source string `json:"compared_with,omitempty"`
	// Notice explains that the configuration in force may be outdated.
	Notice     string           `json:"notice,omitempty"`
	Difference *lint.Difference `json:"difference,omitempty"`
}

// checkConfiguration prints the findings about a file. The error that it returns sets the exit code.
func (a *app) checkConfiguration(ctx context.Context, o *configCheckFlags) error {
	c, invalid, err := readConfiguration(o.Args.File)
	if err != nil {
		return err
	}
	v := &checkView{File: o.Args.File}
	inForce, err := a.readInForce(ctx, o.Against, v)
	if err != nil {
		return err
	}
	if invalid != nil {
		v.Findings = []lint.Finding{*invalid}
	} else {
		v.Findings = lint.Check(c)
		if v.Source != "" {
			var step []lint.Finding
			v.Difference, step = lint.Compare(inForce, c)
			v.Findings = append(step, v.Findings...)
		}
	}
	v.Errors, v.Warnings = lint.Count(v.Findings)
	if err := a.print(v, nil); err != nil {
		return err
	}
	if v.Errors > 0 || o.Strict && v.Warnings > 0 {
		return &exitError{code: kernel.ExitRefused}
	}
	return nil
}

// readInForce reads the configuration in force from a file, or from a control instance if one is known, and sets what v
// says about it. Without either, v.Source stays empty.
func (a *app) readInForce(ctx context.Context, file string, v *checkView) (lint.Redacted, error) {
	if file != "" {
		c, invalid, err := readConfiguration(file)
		if err != nil {
			return lint.Redacted{}, err
		}
		if invalid != nil {
			return lint.Redacted{}, newExitErrorf(kernel.ExitUsage, "--against: %s: %s: %s", file, invalid.Field, invalid.Text)
		}
		v.Source = file
		return lint.Redact(c), nil
	}
	if len(a.flags.Server) == 0 {
		return lint.Redacted{}, nil
	}
	var err error
	if a.client, err = newClient(&a.flags); err != nil {
		return lint.Redacted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.client.timeout)
	defer cancel()
	var answer struct {
		freshness
		lint.Redacted
	}
	if _, err := a.client.get(ctx, "/v1/configuration", &answer); err != nil {
		return lint.Redacted{}, errors.Wrap(err, "configuration in force")
	}
	v.Source, v.Notice = "control instance", answer.Notice
	return answer.Redacted, nil
}

// readConfiguration reads a file with a whole configuration. invalid is set if the text is JSON, but no configuration can be
// decoded from it. Neither result quotes the calling teams, since the text could be an API key.
func readConfiguration(path string) (c *resource.Configuration, invalid *lint.Finding, err error) {
	text, err := readFile(path, maxConfigurationFileBytes)
	if err != nil {
		return nil, nil, err
	}
	body, err := hujson.Minimize(text)
	if err != nil {
		// The text after the position may quote a key.
		position, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "hujson: "), ": ")
		return nil, nil, newExitErrorf(kernel.ExitUsage, "%s: not JSON: %s", path, position)
	}
	c = &resource.Configuration{}
	if err := resource.DecodeWithLimit(body, resource.MaxConfigurationBytes, c); err != nil {
		invalid = &lint.Finding{Severity: lint.Error, Rule: lint.RuleInvalid, Text: err.Error()}
		var field *resource.FieldError
		if errors.As(err, &field) {
			invalid.Field, invalid.Text = field.Field, field.Reason
		}
		if parts := strings.Split(invalid.Field, "/"); parts[0] == "callers" {
			invalid.Field, invalid.Text = strings.Join(parts[:min(len(parts), 2)], "/"), "malformed"
		}
		return nil, invalid, nil
	}
	return c, nil, nil
}

// writeColumns implements tabular.
func (v *checkView) writeColumns(w io.Writer) {
	if len(v.Findings) > 0 {
		fmt.Fprintln(w, "SEVERITY\tRULE\tFIELD\tFINDING")
	}
	for _, f := range v.Findings {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Severity, f.Rule, f.Field, f.Text)
	}
	fmt.Fprintf(w, "%s: %d errors, %d warnings\n", v.File, v.Errors, v.Warnings)
	if v.Notice != "" {
		fmt.Fprintf(w, "STALE: %s\n", v.Notice)
	}
	d := v.Difference
	if d == nil {
		return
	}
	fmt.Fprintf(w, "\ncompared with configuration %d (%s): %d entries differ, %d keys added, %d keys removed\n", d.InForce, v.Source, len(d.Entries), d.KeysAdded, d.KeysRemoved)
	if len(d.Entries) > 0 {
		fmt.Fprintln(w, "CHANGE\tKIND\tNAME\tDETAILS")
	}
	for _, e := range d.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Action, e.Kind, e.Name, strings.Join(e.Details, "; "))
	}
}

// readFile reads a file of at most maxBytes bytes. Its errors have the exit code of usage errors.
func readFile(path string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, newExitErrorf(kernel.ExitUsage, "%v", err)
	}
	if info.Size() > maxBytes {
		return nil, newExitErrorf(kernel.ExitUsage, "%s: %d bytes are above the limit of %d", path, info.Size(), maxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, newExitErrorf(kernel.ExitUsage, "%v", err)
	}
	return text, nil
}
