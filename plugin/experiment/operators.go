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

// decisionTimeout bounds the time until a change is decided, including retries; after it the scenario
// fails.
const decisionTimeout = 30 * time.Second

// operatorClient submits changes over the operators' API. Like the operators' command, it resends
// a change under the same ID until the change is decided.
type operatorClient struct {
	httpClient *httponce.Client
	// addresses lists the operators' addresses of all control instances.
	addresses []string
	// addressIndex selects the control instance for the next attempt, modulo the number of addresses.
	addressIndex int
	// lastID is the number in the ID of the last change.
	lastID int
	// revisions holds the current revision of each object, by kind/name.
	revisions map[string]uint64
	// lastVersion is the version of the last accepted change.
	lastVersion resource.Version
	// undecidedAttempts counts the attempts without a decision.
	undecidedAttempts int
	// lastError is the error of the latest attempt without a decision.
	lastError error
}

func newOperatorClient(f *layout.Fleet) *operatorClient {
	o := &operatorClient{httpClient: httponce.New(4), revisions: map[string]uint64{}}
	for _, c := range f.Controls {
		o.addresses = append(o.addresses, c.OperatorsAddress)
	}
	return o
}

// decision is the response to a submitted change.
type decision struct {
	State    string           `json:"state"`
	Version  resource.Version `json:"version"`
	Revision uint64           `json:"revision"`
	Reason   string           `json:"reason"`
	Text     string           `json:"text"`
}

// put creates an object.
func (o *operatorClient) put(e *env, organisation, kind, name string, body any) error {
	return o.submit(e, organisation, kind, name, "put", body)
}

// revise replaces an object. The change is refused unless the object still has the revision that o
// submitted last.
func (o *operatorClient) revise(e *env, organisation, kind, name string, body any) error {
	return o.submit(e, organisation, kind, name, "revise", body)
}

// submit sends a change to one control instance after another until the change is decided. It returns
// an error if the change is refused or not decided within decisionTimeout.
func (o *operatorClient) submit(e *env, organisation, kind, name, action string, body any) error {
	o.lastID++
	change := map[string]any{
		"id": fmt.Sprintf("experiment-%d", o.lastID), "kind": kind, "action": action, "name": name, "body": body,
	}
	key := kind + "/" + name
	if action != "put" {
		change["expected_revision"] = o.revisions[key]
	}
	text, err := json.Marshal(change)
	if err != nil {
		return err
	}
	lastErr := errors.New("no answer")
	for deadline := time.Now().Add(decisionTimeout); time.Now().Before(deadline); {
		response, err := o.send(e.ctx, text, layout.Token(organisation))
		switch {
		case err == nil && response.State == "accepted":
			o.revisions[key], o.lastVersion = response.Revision, response.Version
			return nil
		case err == nil && response.State == "refused":
			return errors.Newf("%s %s %s was refused: %s: %s", action, kind, name, response.Reason, response.Text)
		case err != nil:
			lastErr = err
		default:
			lastErr = errors.Newf("undecided: %s", response.Text)
		}
		o.addressIndex++
		o.undecidedAttempts++
		o.lastError = lastErr
		if err := e.sleep(20 * time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Wrapf(lastErr, "%s %s %s was not decided within %v", action, kind, name, decisionTimeout)
}

// send makes one attempt to submit a change to the current control instance.
func (o *operatorClient) send(ctx context.Context, text []byte, token string) (*decision, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	address := o.addresses[o.addressIndex%len(o.addresses)]
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/changes", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	res, err := o.httpClient.Do(ctx, address, req)
	if err != nil {
		return nil, err
	}
	var d decision
	if err := json.Unmarshal(res.Body, &d); err != nil || d.State == "" {
		return nil, errors.Newf("%s returned status %d: %s", address, res.Status, bytes.TrimSpace(res.Body[:min(len(res.Body), 300)]))
	}
	return &d, nil
}

func statusError(status int, body []byte) error {
	return errors.Newf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), 300)]))
}
