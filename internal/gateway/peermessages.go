package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// postToPeer sends a message to another gateway, which its header identifies, and returns the header
// of the response. Any response but 204 is an error.
func (g *Gateway) postToPeer(ctx context.Context, address string, header http.Header, body []byte) (http.Header, error) {
	pool := g.peers.get(address).pool
	if pool == nil {
		return nil, fmt.Errorf("no connection pool for %s", address)
	}
	header["User-Agent"] = []string{""}
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: address, Header: header, ContentLength: int64(len(body))}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	response, err := pool.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := readResponseBody(response); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusNoContent {
		return nil, fmt.Errorf("%s responded with status %d", address, response.StatusCode)
	}
	return response.Header, nil
}
