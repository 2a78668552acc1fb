package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// pacedBody is the body of a response whose turn on the link has come. It must be ended with end.
type pacedBody struct {
	pacer *linkPacer
	// place is nil if the body is not paced.
	place *linkPlace
	// length is the number of bytes that are not written yet.
	length int
}

// begin waits until a body may be written. It returns the error of the context if that ends first.
// Small bodies don't wait.
func (p *linkPacer) begin(ctx context.Context, length int) (*pacedBody, error) {
	body := &pacedBody{pacer: p, length: length}
	if !p.link.Bounded() || length < minPacedBody {
		return body, nil
	}
	p.addWaiting(length)
	place, err := p.places.acquire(ctx)
	if err != nil {
		p.addWaiting(-length)
		return nil, err
	}
	body.place = place
	return body, nil
}

// end ends the use of the link. It may be called more than once.
func (b *pacedBody) end() {
	if b.place == nil {
		return
	}
	b.place.release()
	b.pacer.addWaiting(-b.length) // the rest that was not written
	b.length = 0
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
		if err := b.place.whileWaiting(func() error { _, err := io.ReadFull(source, chunk); return err }); err != nil {
			return err
		}
		if !sleep(ctx, b.pacer.countSent(len(chunk))-maxPacingLead) {
			return context.Cause(ctx)
		}
		if err := b.place.whileWaiting(func() error { _, err := w.Write(chunk); return err }); err != nil {
			return err
		}
		b.pacer.addWaiting(-len(chunk))
		b.length -= len(chunk)
	}
	return nil
}
