// Package intake bounds the bytes of operators' changes that an instance holds at the same time.
package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// errWaited is returned after MaxWait.
var errWaited = errors.New("other changes were in progress for too long")

// Intake is the plug-in.
type Intake struct {
	s *Settings
	// mu guards queue.
	mu    *rank.Mutex
	queue queue

	refused *metrics.Counter
}

func newIntake(c *kernel.Context) *Intake {
	s := c.Settings.(*Settings)
	in := &Intake{
		s: s, mu: rank.NewMutex(rank.Intake), queue: queue{maxBytes: s.MaxBytes, maxWaiting: s.MaxWaiting},
		refused: c.Metrics.NewCounter("celeryyard_intake_refused_total"),
	}
	c.Metrics.NewGauge("celeryyard_intake_held_bytes", func() float64 {
		in.mu.Lock()
		defer in.mu.Unlock()
		return float64(in.queue.held)
	})
	return in
}

// Start implements kernel.Plugin.
func (in *Intake) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (in *Intake) Stop(context.Context) error { return nil }

// Refusal is the error of a change that has not been read. Status is the code of the HTTP response, which tells the
// operator whether to send the change again.
type Refusal struct {
	Status int
	Err    error
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// StatusCode returns the status of a Refusal, and 500 for any other error.
func StatusCode(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return http.StatusInternalServerError
}

// ReadBody reads the body of a request that carries a change, as soon as there is room for it. It blocks for at most MaxWait
// and BodyTimeout. The caller owns the body and calls release once, when it no longer holds anything of the change. Errors
// are Refusals: 413 for a body of more than maxBytes, 408 for one that is late, 400 for one that is incomplete, 503 if there
// was no room.
func (in *Intake) ReadBody(rw http.ResponseWriter, r *http.Request, maxBytes int64) (body []byte, release func(), err error) {
	if r.ContentLength > maxBytes {
		return nil, nil, &Refusal{http.StatusRequestEntityTooLarge, errors.Newf("the body is above the limit of %d bytes", maxBytes)}
	}
	bytes := r.ContentLength
	if bytes < 0 {
		bytes = maxBytes
	}
	release, err = in.acquire(r.Context(), bytes)
	if err != nil {
		in.refused.Inc()
		rw.Header().Set("Retry-After", "1")
		return nil, nil, &Refusal{http.StatusServiceUnavailable, err}
	}
	body, err = in.read(rw, r, maxBytes)
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func (in *Intake) acquire(ctx context.Context, bytes int64) (release func(), err error) {
	in.mu.Lock()
	w, err := in.queue.add(bytes)
	in.mu.Unlock()
	if err != nil {
		return nil, err
	}
	release = func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.queue.release(w)
	}
	t := time.NewTimer(in.s.MaxWait.AsDuration())
	defer t.Stop()
	select {
	case <-w.granted:
		return release, nil
	case <-t.C:
		err = errWaited
	case <-ctx.Done():
		err = ctx.Err()
	}
	release()
	return nil, err
}

// read reads the body within BodyTimeout, so that an operator whose connection is silent does not hold its bytes for long.
func (in *Intake) read(rw http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	control := http.NewResponseController(rw)
	// The server sets the deadline again for the next request of the connection.
	if err := control.SetReadDeadline(time.Now().Add(in.s.BodyTimeout.AsDuration())); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &Refusal{http.StatusBadRequest, err}
	}
	body, err := readAll(http.MaxBytesReader(rw, r.Body, maxBytes), r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{}) // otherwise a response after the deadline would end the connection
		return body, nil
	}
	var large *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		return nil, &Refusal{http.StatusRequestEntityTooLarge, errors.Newf("the body is above the limit of %d bytes", maxBytes)}
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, &Refusal{http.StatusRequestTimeout, errors.Wrap(err, "the body was not received in time")}
	}
	return nil, &Refusal{http.StatusBadRequest, errors.Wrap(err, "the body was not received completely")}
}

// readAll reads a body whose length may be known; io.ReadAll would allocate several times the length.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}
