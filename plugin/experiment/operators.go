package experiment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/core/resource"
)

// decideLimit bounds the time until a change is decided, resends included.
const decideLimit = 30 * time.Second

// operators submits changes as the operators' command does: it resends a change
// under the same ID until it is decided.
type operators struct {
	client    *httponce.Client
	addresses []string
	next      int
	seq       int
	// revisions holds the revision of each object, version the last accepted one.
	revisions map[string]uint64
	version   resource.Version
	// resends counts attempts without a decision, last says why the latest one
	// had none.
	resends int
	last    error
}

func newOperators(f *layout.Fleet) *operators {
	o := &operators{client: httponce.New(4), revisions: map[string]uint64{}}
	for _, c := range f.Controls {
		o.addresses = append(o.addresses, c.Operators)
	}
	return o
}

// decision is the answer to a change.
type decision struct {
	State    string           `json:"state"`
	Version  resource.Version `json:"version"`
	Revision uint64           `json:"revision"`
	Reason   string           `json:"reason"`
	Text     string           `json:"text"`
}

// put creates an object; revise replaces the revision made last.
func (o *operators) put(e *env, organisation, kind, name string, body any) error {
	return o.submit(e, organisation, kind, name, "put", body)
}

func (o *operators) revise(e *env, organisation, kind, name string, body any) error {
	return o.submit(e, organisation, kind, name, "revise", body)
}

func (o *operators) submit(e *env, organisation, kind, name, action string, body any) error {
	o.seq++
	change := map[string]any{
		"id": fmt.Sprintf("experiment-%d", o.seq), "kind": kind, "action": action, "name": name, "body": body,
	}
	key := kind + "/" + name
	if action != "put" {
		change["expected_revision"] = o.revisions[key]
	}
	text, err := json.Marshal(change)
	if err != nil {
		return err
	}
	last := errors.New("no answer")
	for end := time.Now().Add(decideLimit); time.Now().Before(end); {
		d, err := o.send(e.ctx, text, layout.Token(organisation))
		switch {
		case err == nil && d.State == "accepted":
			o.revisions[key], o.version = d.Revision, d.Version
			return nil
		case err == nil && d.State == "refused":
			return errors.Newf("%s %s %s is refused: %s: %s", action, kind, name, d.Reason, d.Text)
		case err != nil:
			last = err
		default:
			last = errors.Newf("undecided: %s", d.Text)
		}
		o.next++
		o.resends++
		o.last = last
		if err := e.sleep(20 * time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Wrapf(last, "%s %s %s is not decided within %v", action, kind, name, decideLimit)
}

// send submits the change to one control instance once.
func (o *operators) send(ctx context.Context, text []byte, token string) (*decision, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	address := o.addresses[o.next%len(o.addresses)]
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/changes", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	res, err := o.client.Do(ctx, address, req)
	if err != nil {
		return nil, err
	}
	var d decision
	if err := json.Unmarshal(res.Body, &d); err != nil || d.State == "" {
		return nil, errors.Newf("%s answers %d: %s", address, res.Status, bytes.TrimSpace(res.Body[:min(len(res.Body), 300)]))
	}
	return &d, nil
}

func errStatus(status int, body []byte) error {
	return errors.Newf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), 300)]))
}
