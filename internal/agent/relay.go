package agent

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// relay forwards the back end's answer to the router. A short answer is read
// completely before any of it is released, so that a truncated answer or the
// loss of the lease can still be reported instead. A long answer is released in
// parts while the shard is owned; a failure after its header aborts the
// connection to the router.
func (agent *Agent) relay(w http.ResponseWriter, r *http.Request, parsed request, response *http.Response) result {
	buffer := bufferPool.Get().(*[maxBufferedBytes]byte)
	defer bufferPool.Put(buffer)
	first, err := readUpTo(response.Body, buffer[:])
	switch {
	case err == io.EOF:
		return agent.relayWhole(w, r, parsed, response, first)
	case err != nil:
		return result{refused: unknown(http.StatusBadGateway, wire.ReasonTruncated, err.Error()), answerBroken: true}
	}
	return agent.relayStream(w, parsed, response, buffer[:], first)
}

// readUpTo fills the buffer. If the body is shorter, it returns all of it with
// io.EOF.
func readUpTo(body io.Reader, buffer []byte) ([]byte, error) {
	count := 0
	for count < len(buffer) {
		more, err := body.Read(buffer[count:])
		count += more
		if err != nil {
			return buffer[:count], err
		}
	}
	return buffer, nil
}

// checkReleasable returns the refusal to send if the answer may no longer be
// released, or nil.
func (agent *Agent) checkReleasable(parsed request) *refusal {
	err := agent.checkOwned(parsed)
	if err == nil {
		return nil
	}
	return unknown(http.StatusGatewayTimeout, wire.ReasonLeaseLost, "the answer outlived the lease: "+err.Error())
}

func (agent *Agent) relayWhole(w http.ResponseWriter, r *http.Request, parsed request, response *http.Response, body []byte) result {
	answer := &requestrecord.Answer{Status: response.StatusCode, Header: make(http.Header, len(response.Header))}
	copyHeader(answer.Header, response.Header)
	if parsed.nonRepeatable {
		answer.Body = slices.Clone(body)
	}
	ended := result{ran: true, answer: answer}
	if ended.refused = agent.checkReleasable(parsed); ended.refused != nil {
		return ended
	}
	length := int64(len(body))
	if r.Method == http.MethodHead {
		length = response.ContentLength
	}
	writeHeader(w, response.StatusCode, answer.Header, length)
	_, _ = w.Write(body)
	return ended
}

// writeHeader sends the header of a back end's answer. A negative length means
// that it is unknown.
func writeHeader(w http.ResponseWriter, status int, from http.Header, length int64) {
	header := w.Header()
	copyHeader(header, from)
	header.Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	if length >= 0 && bodyAllowed(status) {
		header.Set("Content-Length", strconv.FormatInt(length, decimal))
	}
	w.WriteHeader(status)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeAnswer sends a kept answer again.
func writeAnswer(w http.ResponseWriter, answer *requestrecord.Answer) {
	writeHeader(w, answer.Status, answer.Header, int64(len(answer.Body)))
	_, _ = w.Write(answer.Body)
}

// relayStream forwards a long answer as it arrives. If its length is unknown,
// its digest follows in a trailer.
func (agent *Agent) relayStream(w http.ResponseWriter, parsed request, response *http.Response, buffer, first []byte) result {
	if refused := agent.checkReleasable(parsed); refused != nil {
		return result{refused: refused}
	}
	if response.ContentLength < 0 {
		w.Header().Set("Trailer", wire.TrailerDigest)
	}
	writeHeader(w, response.StatusCode, response.Header, response.ContentLength)
	digest := xxhash.New()
	controller := http.NewResponseController(w)
	part := first
	for {
		_ = controller.SetWriteDeadline(time.Now().Add(agent.config.ProgressTimeout))
		if _, err := w.Write(part); err != nil {
			return result{aborted: true}
		}
		_, _ = digest.Write(part)
		count, err := response.Body.Read(buffer)
		part = buffer[:count]
		if err != nil && err != io.EOF {
			return result{aborted: true, answerBroken: true}
		}
		if agent.checkReleasable(parsed) != nil {
			return result{aborted: true, ran: err == io.EOF}
		}
		if err == io.EOF {
			return endStream(w, response, digest, part)
		}
	}
}

func endStream(w http.ResponseWriter, response *http.Response, digest *xxhash.Digest, last []byte) result {
	if _, err := w.Write(last); err != nil {
		return result{aborted: true, ran: true}
	}
	_, _ = digest.Write(last)
	if response.ContentLength < 0 {
		w.Header().Set(wire.TrailerDigest, digestText(digest.Sum64()))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	return result{ran: true}
}
