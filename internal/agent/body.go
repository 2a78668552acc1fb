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

// bufferedBytes is the longest body, of a request or an answer, that is held
// whole in memory; longer ones are streamed.
const bufferedBytes = 64 << 10

var errDigest = errors.New("body does not match its digest")

// buffers holds byte slices of length bufferedBytes.
var buffers = sync.Pool{New: func() any { return new([bufferedBytes]byte) }}

// requestBody is the body of a request: whole in memory, or the rest of a
// stream of which nothing was read.
type requestBody struct {
	// whole is valid where stream is nil.
	whole  []byte
	buffer *[bufferedBytes]byte
	stream *streamedBody
	length int64
}

// release gives the memory back and, where a stream was not read to its end,
// stops whoever still reads it.
func (body *requestBody) release() {
	if body.buffer != nil {
		buffers.Put(body.buffer)
	}
	if body.stream != nil {
		body.stream.stop()
	}
}

// reader returns the body for sending; nil for an empty one.
func (body *requestBody) reader() io.ReadCloser {
	if body.stream != nil {
		return body.stream
	}
	if len(body.whole) == 0 {
		return nil
	}
	return io.NopCloser(&wholeReader{rest: body.whole})
}

// wholeReader reads a slice; unlike bytes.Reader it offers no WriteTo, which
// would hide it from the counting of what was sent.
type wholeReader struct{ rest []byte }

func (reader *wholeReader) Read(buffer []byte) (int, error) {
	if len(reader.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, reader.rest)
	reader.rest = reader.rest[count:]
	return count, nil
}

// takeBody reads a short body whole, before the request waits for a slot: a
// slow sender must not hold one. A long body is streamed later.
func (agent *Agent) takeBody(w http.ResponseWriter, r *http.Request) (*requestBody, *refusal) {
	if r.ContentLength > agent.config.MaxBodyBytes {
		return nil, notRun(http.StatusRequestEntityTooLarge, wire.ReasonTooLarge,
			"the body is longer than "+strconv.FormatInt(agent.config.MaxBodyBytes, decimal)+" bytes")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	source := agent.newStream(w, r)
	if r.ContentLength < 0 || r.ContentLength > bufferedBytes {
		return &requestBody{stream: source, length: r.ContentLength}, nil
	}
	body := &requestBody{buffer: buffers.Get().(*[bufferedBytes]byte), length: r.ContentLength}
	body.whole = body.buffer[:r.ContentLength]
	if _, err := io.ReadFull(source, body.whole); err != nil {
		body.release()
		return nil, notRun(http.StatusBadRequest, wire.ReasonInvalid, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// streamedBody is a request body that must make progress, stay within the
// limit and match its digest.
type streamedBody struct {
	source     io.ReadCloser
	request    *http.Request
	controller *http.ResponseController
	progress   time.Duration
	digest     *xxhash.Digest
	done       bool
	mutex      sync.Mutex
	stopped    bool
}

func (agent *Agent) newStream(w http.ResponseWriter, r *http.Request) *streamedBody {
	return &streamedBody{
		source:     http.MaxBytesReader(w, r.Body, agent.config.MaxBodyBytes),
		request:    r,
		controller: http.NewResponseController(w),
		progress:   agent.config.ProgressTimeout,
		digest:     xxhash.New(),
	}
}

// Read ends with an error when the sender gives nothing for the progress
// timeout.
func (stream *streamedBody) Read(buffer []byte) (int, error) {
	if err := stream.extend(); err != nil {
		return 0, err
	}
	count, err := stream.source.Read(buffer)
	_, _ = stream.digest.Write(buffer[:count])
	if err == io.EOF {
		stream.finish()
		return count, stream.checkDigest()
	}
	return count, err
}

// extend moves the deadline of the connection, unless stop has set it.
func (stream *streamedBody) extend() error {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.stopped {
		return http.ErrBodyReadAfterClose
	}
	return stream.controller.SetReadDeadline(time.Now().Add(stream.progress))
}

// finish removes the deadline, so that the connection can be used again.
func (stream *streamedBody) finish() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.done = true
	if !stream.stopped {
		_ = stream.controller.SetReadDeadline(time.Time{})
	}
}

// checkDigest returns io.EOF for a whole body.
func (stream *streamedBody) checkDigest() error {
	expected := stream.request.Trailer.Get(wire.TrailerDigest)
	if expected != "" && expected != digestText(stream.digest.Sum64()) {
		return errDigest
	}
	return io.EOF
}

// stop ends a Read in progress: the answer came before the whole body, or the
// request was refused. The connection can't be used again.
func (stream *streamedBody) stop() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.stopped = true
	if !stream.done {
		_ = stream.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close implements io.Closer. The server closes the source itself.
func (stream *streamedBody) Close() error { return nil }

// fingerprint tells requests apart that carry the same id: method, target,
// length and, where it is in memory, the body.
func fingerprint(r *http.Request, body *requestBody) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, " ", r.URL.RequestURI(), " ", strconv.FormatInt(body.length, decimal), " "} {
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body.whole)
	return digest.Sum64()
}
