package idempotency

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// Path is the URL path of claim messages on the inbound listener of a node.
const Path = "/celeryyard/claims"

// maxMessageBytes bounds the length of a message and of its answer. A longer message or answer is
// rejected. A record with a stored answer of the largest size takes about 90 KiB.
const maxMessageBytes = 1 << 20

// Operations of messages.
const (
	// opClaim records a claim unless the table already has a record of its key.
	opClaim = "claim"
	// opRelease removes a claim whose call did not run.
	opRelease = "release"
	// opStatus asks the process that made a running claim for its state.
	opStatus = "status"
	// opMerge adds copies of records, or their outcomes.
	opMerge = "merge"
)

// message is one request between the holders of claims.
type message struct {
	// Op is the operation, one of the constants above.
	Op string `json:"op"`
	// Records holds one record, or any number of them with opMerge.
	Records []Record `json:"records"`
}

// reply is the answer to a message.
type reply struct {
	Result Result `json:"result"`
	// Record is the existing record of the claim; only set with ResultKnown.
	Record *Record `json:"record,omitempty"`
	// Recent is set if the answering node became a holder so recently that earlier holders
	// may not have copied their claims to it yet.
	Recent bool `json:"recent,omitempty"`
}

var errMalformedMessage = errors.New("claim message is malformed")

// parseMessage decodes and checks a message.
func parseMessage(b []byte) (*message, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, errors.CombineErrors(errMalformedMessage, err)
	}
	if m.Op != opClaim && m.Op != opRelease && m.Op != opStatus && m.Op != opMerge {
		return nil, errors.Wrapf(errMalformedMessage, "unknown operation %q", m.Op)
	}
	if len(m.Records) == 0 || m.Op != opMerge && len(m.Records) != 1 {
		return nil, errors.Wrapf(errMalformedMessage, "operation %q with %d records", m.Op, len(m.Records))
	}
	for i := range m.Records {
		if err := m.Records[i].validate(); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

// validate returns an error if a record from another process is malformed.
func (r *Record) validate() error {
	switch r.State {
	case StateRunning, StateAnswerNotStored, StateUnknown:
		if r.Reply != nil {
			return errors.Wrapf(errMalformedMessage, "record in state %q has an answer", r.State)
		}
	case StateAnswered:
		if r.Reply == nil || r.Reply.Status < 200 || r.Reply.Status > 999 || len(r.Reply.Body) > httpcall.MaxKeptBytes {
			return errors.Wrap(errMalformedMessage, "answer is missing, is too large or has an invalid status")
		}
	default:
		return errors.Wrapf(errMalformedMessage, "unknown state %q", r.State)
	}
	if r.ID == "" || r.Hash == "" || r.Primary == "" || r.TTL < 0 || r.TTL > (48*time.Hour).Milliseconds() {
		return errors.Wrap(errMalformedMessage, "record lacks an ID, hash or primary, or has an invalid TTL")
	}
	return nil
}

// parseReply decodes and checks the answer to a message.
func parseReply(b []byte) (*reply, error) {
	var r reply
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, errors.CombineErrors(errMalformedMessage, err)
	}
	switch r.Result {
	case ResultNew, ResultConflict, ResultFull:
		return &r, nil
	case ResultKnown:
		if r.Record == nil {
			return nil, errors.Wrap(errMalformedMessage, "known claim lacks its record")
		}
		return &r, r.Record.validate()
	}
	return nil, errors.Wrapf(errMalformedMessage, "unknown result %q", r.Result)
}

// send sends a message to another node and waits for the answer.
func (p *Idempotency) send(ctx context.Context, target httpcall.Target, m *message, deadline time.Time) (*reply, error) {
	p.messagesSent.Inc()
	return p.post(ctx, target, m, deadline)
}

// postHTTP posts a message to the inbound listener of another node.
func (p *Idempotency) postHTTP(ctx context.Context, target httpcall.Target, m *message, deadline time.Time) (*reply, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	x, f := p.client.Do(ctx, &httpcall.Request{
		To: target, Deadline: deadline, Body: httpcall.NewBytesBody(b),
		HTTP: &http.Request{
			Method: http.MethodPost, URL: &url.URL{Path: Path}, Host: target.Address,
			Header: http.Header{"Content-Type": {"application/json"}},
		},
	})
	if f != nil {
		return nil, f
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxMessageBytes+1))
	x.Finish(err == nil && len(body) <= maxMessageBytes)
	if err != nil {
		return nil, err
	}
	if x.Response.StatusCode != http.StatusOK {
		return nil, errors.Newf("claim message was answered with status %d: %s", x.Response.StatusCode, bytes.TrimSpace(body))
	}
	return parseReply(body)
}

// Serve handles a message of another node. The caller must have authenticated the request.
func (p *Idempotency) Serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, err := parseMessage(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := json.Marshal(p.handleMessage(m, time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}
