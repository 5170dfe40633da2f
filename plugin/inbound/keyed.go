package inbound

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/idempotency"
)

// serveKeyed begins the claim of a call with an Idempotency-Key; this node is the primary holder of
// the claim. It runs the call if the claim is new, and otherwise answers it as a repeat or rejects
// it.
func (c *call) serveKeyed() {
	key := c.r.Header.Get(httpcall.HeaderIdempotencyKey)
	if key == "" {
		c.reject(httpcall.ReasonMalformed)
		return
	}
	if !c.body.IsFullyKept() {
		c.reject(httpcall.ReasonBodyTooLarge)
		return
	}
	// The answer is kept for repeated calls, so the call continues if its caller gives up.
	c.ctx = context.WithoutCancel(c.r.Context())
	id := httpcall.ClaimID(c.info.Organisation, c.info.Service, key)
	result, known, err := c.in.claims.Begin(c.ctx, idempotency.Claim{
		ID: id, Hash: c.requestHash(), Deadline: c.deadline,
		Backup: httpcall.Target{Node: c.info.BackupNode, Address: c.info.BackupAddress},
	})
	switch {
	case err != nil:
		c.logKeyed(id, "holder-unreachable", err)
		c.reject(httpcall.ReasonBackupUnreachable)
	case result == idempotency.ResultKnown:
		c.logKeyed(id, "repeat-"+string(known.State), nil)
		c.answerRepeat(known)
	case result == idempotency.ResultConflict:
		c.reject(httpcall.ReasonKeyConflict)
	case result == idempotency.ResultFull:
		c.reject(httpcall.ReasonClaimsFull)
	default:
		c.runKeyed(id)
	}
}

// authorityHeaders are the headers that state on whose behalf a caller makes a call.
var authorityHeaders = [...]string{"Authorization", "Cookie"}

// requestHash returns a hash of the parts of the request that must be the same when a call is
// repeated with its key. Callers with different authority must not get each other's answers.
func (c *call) requestHash() string {
	h := sha256.New()
	for _, name := range authorityHeaders {
		for _, v := range c.r.Header[name] {
			_, _ = io.WriteString(h, name+"\x00"+v+"\x00")
		}
	}
	if c.info.Caller != "" {
		_, _ = io.WriteString(h, "caller\x00"+c.info.Caller+"\x00")
	}
	if c.info.Team != "" {
		_, _ = io.WriteString(h, "team\x00"+c.info.Team+"\x00")
	}
	_, _ = io.WriteString(h, c.r.Method+"\x00"+c.r.Host+"\x00"+c.r.URL.RequestURI()+"\x00"+c.r.Header.Get("Content-Type")+"\x00")
	_, _ = h.Write(c.body.Bytes())
	return hex.EncodeToString(h.Sum(nil))
}

// logKeyed logs what was decided about a call with the given claim, or how it ended. Calls without an ID
// are not logged.
func (c *call) logKeyed(claim, outcome string, err error) {
	if c.info.ID != "" {
		c.in.c.Log.Log(evKeyed).Str("id", c.info.ID).Str("claim", claim).Str("outcome", outcome).Str("backup", c.info.BackupNode).Err(err).Send()
	}
}

// runKeyed executes a claimed call and records its outcome.
func (c *call) runKeyed(id string) {
	if reason := c.runInSlot(c.forwardAndKeep); reason != "" {
		c.logKeyed(id, "released", errors.New(reason))
		c.in.claims.Release(id)
		c.reject(reason)
		return
	}
	switch {
	case c.failure != nil:
		c.logKeyed(id, "may-have-run", c.failure)
		c.in.claims.Finish(id, idempotency.StateUnknown, nil)
		c.answerMayHaveRun()
	case c.answer != nil:
		c.in.claims.Finish(id, idempotency.StateAnswered, c.answer)
		c.replay(c.answer)
	case c.aborted:
		c.in.claims.Finish(id, idempotency.StateUnknown, nil)
	default:
		c.in.claims.Finish(id, idempotency.StateAnswerNotStored, nil)
	}
}

// forwardAndKeep dispatches the call. It keeps an answer of at most MaxKeptBytes in c.answer, and
// forwards a longer one at once. It runs on a worker.
func (c *call) forwardAndKeep() {
	x := c.send()
	if x == nil {
		return
	}
	var kept bytes.Buffer
	n, err := io.Copy(&kept, io.LimitReader(x.Response.Body, httpcall.MaxKeptBytes+1))
	if err != nil {
		x.Finish(false)
		c.failure = httpcall.NewFailure(httpcall.KindCut, verdict.MayHaveRun, err)
		return
	}
	if n <= httpcall.MaxKeptBytes {
		x.Finish(true)
		h := http.Header{}
		httpcall.ForwardHeaders(h, x.Response.Header)
		c.answer = &idempotency.Answer{Status: x.Response.StatusCode, Header: h, Body: kept.Bytes()}
		return
	}
	c.setAnswerHeaders(x)
	c.w.WriteHeader(x.Response.StatusCode)
	if _, err := kept.WriteTo(c.w); err != nil {
		x.Finish(false)
		c.aborted = true
		return
	}
	c.copy(x)
}

// replay writes a kept answer.
func (c *call) replay(a *idempotency.Answer) {
	h := c.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	c.setLoadHeader(h)
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
}

// answerRepeat answers a call whose key is known, without running it. r is the record of the first
// call with the key.
func (c *call) answerRepeat(r *idempotency.Record) {
	h := c.w.Header()
	text := ""
	switch r.State {
	case idempotency.StateAnswered:
		h.Set(httpcall.HeaderClaim, "replayed")
		c.replay(r.Reply)
		return
	case idempotency.StateRunning:
		h.Set(httpcall.HeaderClaim, "running")
		h.Set("Retry-After", "1")
		text = "the call with this key is still running"
	case idempotency.StateAnswerNotStored:
		h.Set(httpcall.HeaderClaim, "ran")
		text = "the call with this key ran; its answer was too large to keep"
	default:
		h.Set(httpcall.HeaderClaim, "unknown")
		text = "the call with this key may have run; it is not run again"
	}
	h.Set(httpcall.HeaderVerdict, verdict.MayHaveRun.String())
	if r.State == idempotency.StateAnswerNotStored {
		h.Set(httpcall.HeaderVerdict, verdict.Ran.String())
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.setLoadHeader(h)
	c.w.WriteHeader(http.StatusConflict)
	_, _ = io.WriteString(c.w, "celeryyard: "+text+"\n")
}
