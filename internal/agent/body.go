package agent

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// maxBufferedBytes is the longest request or response body that is buffered in
// memory. Longer ones are streamed.
const maxBufferedBytes = 64 << 10

var errDigest = errors.New("body does not match its digest")

// bufferPool holds buffers of maxBufferedBytes.
var bufferPool = sync.Pool{New: func() any { return new([maxBufferedBytes]byte) }}

// requestBody is the body of a request: buffered in memory, or a stream of
// which nothing has been read.
type requestBody struct {
	// buffered is valid if stream is nil.
	buffered []byte
	buffer   *[maxBufferedBytes]byte
	stream   *streamedBody
	length   int64
}

// release returns the buffer to the pool. It aborts a stream that was not read
// to its end, so that a reader in progress returns.
func (body *requestBody) release() {
	if body.buffer != nil {
		bufferPool.Put(body.buffer)
	}
	if body.stream != nil {
		body.stream.abort()
	}
}

// reader returns the body for sending; nil for an empty one.
func (body *requestBody) reader() io.ReadCloser {
	if body.stream != nil {
		return body.stream
	}
	if len(body.buffered) == 0 {
		return nil
	}
	return io.NopCloser(&sliceReader{remaining: body.buffered})
}

// sliceReader reads a slice. Unlike bytes.Reader it has no WriteTo method,
// which would bypass the counting of bytes sent.
type sliceReader struct{ remaining []byte }

func (reader *sliceReader) Read(buffer []byte) (int, error) {
	if len(reader.remaining) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, reader.remaining)
	reader.remaining = reader.remaining[count:]
	return count, nil
}

// readBody reads a short body into memory before the request waits for a slot,
// so that a slow sender holds none. A long body is streamed later.
func (agent *Agent) readBody(w http.ResponseWriter, r *http.Request) (*requestBody, *refusal) {
	if r.ContentLength > agent.config.MaxBodyBytes {
		return nil, notRun(http.StatusRequestEntityTooLarge, wire.ReasonTooLarge,
			"the body is longer than "+strconv.FormatInt(agent.config.MaxBodyBytes, decimal)+" bytes")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	source := agent.newStreamedBody(w, r)
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBytes {
		return &requestBody{stream: source, length: r.ContentLength}, nil
	}
	body := &requestBody{buffer: bufferPool.Get().(*[maxBufferedBytes]byte), length: r.ContentLength}
	body.buffered = body.buffer[:r.ContentLength]
	if _, err := io.ReadFull(source, body.buffered); err != nil {
		body.release()
		return nil, notRun(http.StatusBadRequest, wire.ReasonInvalid, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// streamedBody is a request body that is read with a progress timeout and a
// size limit, and checked against its digest.
type streamedBody struct {
	source          io.ReadCloser
	request         *http.Request
	controller      *http.ResponseController
	progressTimeout time.Duration
	digest          *xxhash.Digest
	done            bool
	mutex           sync.Mutex
	aborted         bool
}

func (agent *Agent) newStreamedBody(w http.ResponseWriter, r *http.Request) *streamedBody {
	return &streamedBody{
		source:          http.MaxBytesReader(w, r.Body, agent.config.MaxBodyBytes),
		request:         r,
		controller:      http.NewResponseController(w),
		progressTimeout: agent.config.ProgressTimeout,
		digest:          xxhash.New(),
	}
}

// Read fails if the sender sends nothing for the progress timeout.
func (stream *streamedBody) Read(buffer []byte) (int, error) {
	if err := stream.extendDeadline(); err != nil {
		return 0, err
	}
	count, err := stream.source.Read(buffer)
	_, _ = stream.digest.Write(buffer[:count])
	if err == io.EOF {
		stream.clearDeadline()
		return count, stream.checkDigest()
	}
	return count, err
}

// extendDeadline moves the connection's read deadline forward, unless the body
// was aborted.
func (stream *streamedBody) extendDeadline() error {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.aborted {
		return http.ErrBodyReadAfterClose
	}
	return stream.controller.SetReadDeadline(time.Now().Add(stream.progressTimeout))
}

// clearDeadline removes the read deadline, so that the connection can be used
// again.
func (stream *streamedBody) clearDeadline() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.done = true
	if !stream.aborted {
		_ = stream.controller.SetReadDeadline(time.Time{})
	}
}

// checkDigest returns io.EOF if the body matches the digest in its trailer or
// has none.
func (stream *streamedBody) checkDigest() error {
	expected := stream.request.Trailer.Get(wire.TrailerDigest)
	if expected != "" && expected != digestText(stream.digest.Sum64()) {
		return errDigest
	}
	return io.EOF
}

// abort ends a Read in progress, because the response arrived before the whole
// body was sent or the request was refused. The connection can't be used again.
func (stream *streamedBody) abort() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.aborted = true
	if !stream.done {
		_ = stream.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close implements io.Closer. It does nothing: the server closes the source.
func (stream *streamedBody) Close() error { return nil }

// fingerprint returns a hash that distinguishes requests with the same id. It
// covers the method, target and length, and the body if it is buffered.
func fingerprint(r *http.Request, body *requestBody) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, " ", r.URL.RequestURI(), " ", strconv.FormatInt(body.length, decimal), " "} {
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body.buffered)
	return digest.Sum64()
}
