package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxSurplusResponses bounds how many responses to other requests are discarded before the one
	// that is due.
	maxSurplusResponses = 8
	// maxSurplusBytes bounds their bodies together.
	maxSurplusBytes = 1 << 20
)

// ErrSurplus means that a peer sent responses to other requests, more than are discarded. The request
// itself may have run.
var ErrSurplus = errors.New("response to another request")

// readResponse reads the header of the response to the request, and discards responses to other
// requests before it. A connection that carried one is not used again: more may follow.
func (e *exchange) readResponse(request *http.Request) (*http.Response, error) {
	left := int64(maxSurplusBytes)
	for range maxSurplusResponses {
		response, err := e.readHeader(request)
		if err != nil || !e.isSurplus(request, response) {
			return response, err
		}
		e.surplusRead = true
		if left, err = discardSurplus(response, left); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d of them", ErrSurplus, maxSurplusResponses-1)
}

func (e *exchange) isSurplus(request *http.Request, response *http.Response) bool {
	return e.pool.config.IsSurplus != nil && e.pool.config.IsSurplus(request, response)
}

// discardSurplus reads a response to its end, and returns how many of the bytes that were left for
// such responses are left after it.
func discardSurplus(response *http.Response, left int64) (int64, error) {
	if response.Close || isUndelimited(response) {
		return 0, fmt.Errorf("%w: it ends the connection", ErrSurplus)
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, left+1))
	switch {
	case err != nil:
		return 0, err
	case read > left:
		return 0, fmt.Errorf("%w: more than %d bytes of them", ErrSurplus, maxSurplusBytes)
	}
	return left - read, nil
}
