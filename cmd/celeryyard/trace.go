package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/kernel"
)

func init() {
	register(command{
		path: "trace", summary: "Print the log lines of several processes about one call, in order", local: true,
		options: func() any { return &traceFlags{} },
		run: func(_ context.Context, a *app, o any) error {
			return a.traceCall(o.(*traceFlags))
		},
	})
}

type traceFlags struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"name of the call, as its caller or a log line gives it"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"log file of one process or of several; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// maxLogLineBytes bounds one line of a log. The command fails at a longer line.
const maxLogLineBytes = 1 << 20

// traceLine is a log line about the traced call, or about a call made on its behalf.
type traceLine struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
	Event    int    `json:"event"`
	Message  string `json:"message"`
	ID       string `json:"id"`
	// Details holds the remaining fields as name=value, in the order of the line.
	Details []string `json:"details"`

	// order is the position of the line in the input.
	order int
}

// traceView is the output of the command.
type traceView struct {
	ID    string      `json:"id"`
	Lines []traceLine `json:"lines"`
	// Unread counts lines that contain the ID and could not be parsed as log lines of the product.
	Unread int `json:"unread_lines"`
}

func (a *app) traceCall(o *traceFlags) error {
	v := &traceView{ID: o.Args.ID, Lines: []traceLine{}}
	for _, name := range o.Args.Files {
		if err := v.readFile(name); err != nil {
			return err
		}
	}
	// The clocks of instances may differ slightly. Lines with the same time keep their order.
	slices.SortStableFunc(v.Lines, func(x, y traceLine) int {
		if c := strings.Compare(x.Time, y.Time); c != 0 {
			return c
		}
		return x.order - y.order
	})
	if err := a.print(v, nil); err != nil {
		return err
	}
	if len(v.Lines) == 0 {
		return newExitErrorf(kernel.ExitFailure, "no log line has the call ID %q", v.ID)
	}
	return nil
}

func (v *traceView) readFile(name string) error {
	if name == "-" {
		return v.read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrapf(v.read(f), "%s", name)
}

// read collects the lines about the call and about the calls made on its behalf, whose IDs begin with
// the ID of the call and a dot. It ignores text before the JSON object of a line, which log collectors
// may add.
func (v *traceView) read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	want := []byte(v.ID)
	for s.Scan() {
		line := s.Bytes()
		if !bytes.Contains(line, want) {
			continue
		}
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			v.Unread++
			continue
		}
		t, err := parseTraceLine(line[start:])
		if err != nil {
			v.Unread++
			continue
		}
		if t.ID == v.ID || strings.HasPrefix(t.ID, v.ID+".") {
			t.order = len(v.Lines)
			v.Lines = append(v.Lines, t)
		}
	}
	return s.Err()
}

func parseTraceLine(line []byte) (traceLine, error) {
	var t traceLine
	d := jsontext.NewDecoder(bytes.NewReader(line))
	if k, err := d.ReadToken(); err != nil || k.Kind() != '{' {
		return t, errors.New("line is not a JSON object")
	}
	for d.PeekKind() != '}' {
		key, err := d.ReadToken()
		if err != nil {
			return t, err
		}
		name := key.String()
		value, err := d.ReadValue()
		if err != nil {
			return t, err
		}
		if err := t.setField(name, value); err != nil {
			return t, err
		}
	}
	return t, nil
}

func (t *traceLine) setField(name string, value jsontext.Value) error {
	fields := map[string]any{"time": &t.Time, "instance": &t.Instance, "event": &t.Event, "message": &t.Message, "id": &t.ID}
	if into, ok := fields[name]; ok {
		return json.Unmarshal(value, into)
	}
	if name == "level" || name == "plugin" {
		return nil
	}
	text := string(value)
	var s string
	if value.Kind() == '"' && json.Unmarshal(value, &s) == nil {
		text = s
	}
	if text != "" {
		t.Details = append(t.Details, name+"="+text)
	}
	return nil
}

// writeColumns implements tabular.
func (v *traceView) writeColumns(w io.Writer) {
	fmt.Fprintln(w, "TIME\tINSTANCE\tEVENT\tWHAT\tDETAILS")
	for _, l := range v.Lines {
		what := l.Message
		if l.ID != v.ID {
			what += " (call " + l.ID + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", l.Time, l.Instance, l.Event, what, strings.Join(l.Details, " "))
	}
	if v.Unread > 0 {
		fmt.Fprintf(w, "%d lines that contain the ID could not be parsed\n", v.Unread)
	}
}
