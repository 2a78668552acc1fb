package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// unstatedShare is the share of the limit that a body of unstated length may take while the limit is
// reached. A longer one may be without end.
const unstatedShare = 1.0 / 64

// maxStatedRatio is the ratio of buffered bytes to the limit above which a body of stated length is not
// read, unless it is the only one.
const maxStatedRatio = 2

// errNoMemoryForResponse means that a response body was given up for lack of memory.
var errNoMemoryForResponse = errors.New("no memory for the body of a response")

// bufferedBytes counts the bytes of responses that a gateway buffers until their readers have
// received them. Readers may be slow, and the buffers for them must not use up the memory that
// other requests need.
type bufferedBytes struct {
	// limit is the number of buffered bytes from which no new request is accepted; zero is
	// unlimited. Responses that are ready are still delivered.
	limit int64
	count atomic.Int64
}

// full reports whether no new request may be accepted.
func (h *bufferedBytes) full() bool { return h.limit > 0 && h.count.Load() >= h.limit }

// add counts bytes that are buffered, or, if negative, that no longer are.
func (h *bufferedBytes) add(bytes int) { h.count.Add(int64(bytes)) }

// bodySize is the number of bytes that are buffered for a response until its reader has
// received it.
func (r *forwardResult) bodySize() int {
	if r.Stream != nil {
		return len(r.Stream.content)
	}
	return len(r.Body)
}

// countedReader counts the bytes of a body of unstated length as buffered while they are read.
type countedReader struct {
	source   io.Reader
	buffered *bufferedBytes
	read     int
}

// Read implements io.Reader.
func (r *countedReader) Read(buffer []byte) (int, error) {
	if r.buffered.full() && float64(r.read) > unstatedShare*float64(r.buffered.limit) {
		return 0, errNoMemoryForResponse
	}
	count, err := r.source.Read(buffer)
	r.read += count
	r.buffered.add(count)
	return count, err
}

// release ends the count of the bytes that were read.
func (r *countedReader) release() { r.buffered.add(-r.read) }

// readBody reads the whole body of a response. It fails if the body has more bytes than the limit,
// or if there is no memory for a body that may be without end.
func (h *bufferedBytes) readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, errInvalidResponse
	}
	if response.ContentLength > 0 {
		return h.readStatedBody(response)
	}
	source := &countedReader{source: response.Body, buffered: h}
	defer source.release()
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errInvalidResponse
	}
	return body, err
}

// readResponseBody reads the whole body of a response of another gateway, which states its length.
func readResponseBody(response *http.Response) ([]byte, error) {
	return (&bufferedBytes{}).readBody(response, maxResponseBody)
}

// readStatedBody reads a body whose length is stated. All of it counts as buffered from the beginning.
func (h *bufferedBytes) readStatedBody(response *http.Response) ([]byte, error) {
	length := int(response.ContentLength)
	h.add(length)
	defer h.add(-length)
	buffered := h.count.Load()
	if h.limit > 0 && buffered > maxStatedRatio*h.limit && buffered > int64(length) {
		return nil, errNoMemoryForResponse
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	// One more read lets the connection see the end of the body.
	if _, err := response.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errInvalidResponse
	}
	return body, nil
}
