package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
)

// pacedBody is the body of a response whose turn on the link has come. It must be ended with end.
type pacedBody struct {
	pacer *linkPacer
	// place is nil if the body is not paced.
	place *linkPlace
	// length is the number of bytes that are not written yet.
	length int
	// stalled is set once the body has waited for its reader or source for longer than maxStall.
	stalled atomic.Bool
	// counted is how many of them count as waiting for the link. The pacer's mutex guards it.
	counted int
}

// begin waits until a body may be written. It returns the error of the context if that ends first.
// Small bodies don't wait.
func (p *linkPacer) begin(ctx context.Context, length int) (*pacedBody, error) {
	body := &pacedBody{pacer: p, length: length}
	if !p.link.Bounded() || length < minPacedBody {
		return body, nil
	}
	body.count(length)
	place, err := p.places.acquire(ctx)
	if err != nil {
		body.uncount(length)
		return nil, err
	}
	body.place = place
	return body, nil
}

// count counts bytes as waiting for the link.
func (b *pacedBody) count(bytes int) {
	b.pacer.withLink(func(link *overload.Link, _ time.Time) {
		b.counted += bytes
		link.AddWaiting(bytes)
	})
}

// uncount ends the count of bytes, as far as they are counted.
func (b *pacedBody) uncount(bytes int) {
	b.pacer.withLink(func(link *overload.Link, _ time.Time) {
		bytes = min(bytes, b.counted)
		b.counted -= bytes
		link.AddWaiting(-bytes)
	})
}

// leave gives up the body's place on the link. What is left of the body doesn't count as waiting for
// the link any more. It may be called more than once.
func (b *pacedBody) leave() {
	b.place.release()
	b.uncount(math.MaxInt)
}

// end ends the use of the link. It may be called more than once.
func (b *pacedBody) end() {
	if b.place != nil {
		b.leave()
	}
}

// whileWaiting calls a function that may wait for the body's reader or source. If that takes longer
// than maxStall, the body leaves the link to others, and the rest is written without a place.
func (b *pacedBody) whileWaiting(call func() error) error {
	stall := time.AfterFunc(maxStall, func() {
		b.stalled.Store(true)
		b.leave()
	})
	defer stall.Stop()
	return call()
}

// delivered records that the whole body has been written, which tells how fast the link sends what
// admit reserves, unless the time went by at the reader.
func (b *pacedBody) delivered(reservation overload.Reservation) {
	if b.stalled.Load() {
		return
	}
	b.pacer.withLink(func(link *overload.Link, now time.Time) { link.Sent(reservation, now) })
}

// write writes the body and reports whether all of it was written. It returns early if the context
// ends or the reader disconnects.
func (b *pacedBody) write(ctx context.Context, w http.ResponseWriter, content []byte) (whole bool) {
	if b.place == nil {
		b.pacer.countSent(len(content))
		_, err := w.Write(content)
		return err == nil
	}
	return b.copy(ctx, w, bytes.NewReader(content)) == nil
}

// copy writes the body while it is being read from the source. It returns the error of the source,
// the writer or the context that stopped it early.
func (b *pacedBody) copy(ctx context.Context, w http.ResponseWriter, source io.Reader) error {
	if b.place == nil {
		_, err := io.CopyN(w, source, int64(b.length))
		return err
	}
	buffer := make([]byte, min(pacedChunk, b.length))
	for b.length > 0 {
		chunk := buffer[:min(len(buffer), b.length)]
		if err := b.whileWaiting(func() error { _, err := io.ReadFull(source, chunk); return err }); err != nil {
			return err
		}
		if !sleep(ctx, b.pacer.countSent(len(chunk))-maxPacingLead) {
			return context.Cause(ctx)
		}
		if err := b.whileWaiting(func() error { _, err := w.Write(chunk); return err }); err != nil {
			return err
		}
		b.uncount(len(chunk))
		b.length -= len(chunk)
	}
	return nil
}
