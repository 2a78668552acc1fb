package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// firstBodyBuffer is the first size in bytes of the buffer for a body without a stated length.
const firstBodyBuffer = 16 << 10

// errBodyTooLarge means that a body is longer than the configuration allows.
var errBodyTooLarge = errors.New("request body is longer than the limit")

// requestBody is a request body in memory. Its bytes are reserved in a budget until release.
type requestBody struct {
	content     []byte
	reservation *bodybudget.Reservation
}

// release gives the reserved bytes back. The content must not be used any more. It does nothing on
// an empty body.
func (b *requestBody) release() {
	b.content = nil
	if b.reservation != nil {
		b.reservation.Release(steady.Now())
	}
}

// readRequestBody reads the body of a request that ends at a deadline, and reserves its bytes before
// it reads them. It returns a *bodybudget.FullError if there is no room, before it reads any of a body
// whose length is stated; or errBodyTooLarge if the body is longer than a limit in bytes.
func readRequestBody(w http.ResponseWriter, r *http.Request, budget *bodybudget.Budget, limit int64, deadline time.Time) (*requestBody, error) {
	switch {
	case r.ContentLength == 0:
		return &requestBody{}, nil
	case r.ContentLength > limit:
		return nil, errBodyTooLarge
	}
	size := r.ContentLength
	if size < 0 {
		size = firstBodyBuffer
	}
	reservation, err := budget.Reserve(size, steady.At(deadline), steady.Now())
	if err != nil {
		return nil, err
	}
	body := &requestBody{content: make([]byte, size), reservation: reservation}
	// Otherwise a caller that sends nothing would keep the reserved bytes.
	lift := httpserver.LimitRead(w, steady.Until(deadline))
	defer lift()
	if r.ContentLength > 0 {
		_, err = io.ReadFull(r.Body, body.content)
	} else {
		err = body.readUndeclared(r.Body, limit)
	}
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// readUndeclared reads a body without a stated length.
func (b *requestBody) readUndeclared(source io.Reader, limit int64) error {
	for length := 0; ; {
		count, err := source.Read(b.content[length:])
		length += count
		switch {
		case int64(length) > limit:
			return errBodyTooLarge
		case err == io.EOF:
			b.content = b.content[:length]
			return nil
		case err != nil:
			return err
		}
		if length == len(b.content) {
			if err := b.double(); err != nil {
				return err
			}
		}
	}
}

// double doubles the buffer. Both buffers are in memory while the content is copied.
func (b *requestBody) double() error {
	size := len(b.content)
	if err := b.reservation.Grow(2*int64(size), steady.Now()); err != nil {
		return err
	}
	larger := make([]byte, 2*size)
	copy(larger, b.content)
	b.content = larger
	b.reservation.Shrink(int64(size))
	return nil
}

// refuseBody refuses a caller's request whose body was not read.
func (g *Gateway) refuseBody(w http.ResponseWriter, c *call, err error) {
	full := (*bodybudget.FullError)(nil)
	switch {
	case errors.As(err, &full):
		refusal := notRun(reasonNoMemory)
		refusal.RetryAfter = full.RetryAfter
		g.metrics.request(c.service.Name, outcomeNotRun, reasonNoMemory)
		g.writeRefusal(w, c.request, reasonNoMemory, retryAfter(refusal), nil)
	case errors.Is(err, errBodyTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		http.Error(w, "request body not received in time", http.StatusRequestTimeout)
	default:
		http.Error(w, "request body not read", http.StatusBadRequest)
	}
}
