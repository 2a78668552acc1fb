package platformstandin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// LineRequest is one request that a caller sends ahead.
type LineRequest struct {
	Method, Host, Path, ID, Key string
}

// CallLine sends requests one behind the other on a connection of its own, without waiting
// for answers, and reads these in order with a pause before each. It returns those that came
// before the connection ended; where that was early, also why.
func (m *Machine) CallLine(ctx context.Context, line []LineRequest, pause time.Duration) ([]Answer, error) {
	if m.left.Load() {
		return nil, ErrLeft
	}
	var sent bytes.Buffer
	requests := make([]*http.Request, len(line))
	for i, asked := range line {
		request, err := m.request(ctx, asked.Method, asked.Host, asked.Path, asked.ID, asked.Key, "")
		if err != nil {
			return nil, err
		}
		if err := request.Write(&sent); err != nil {
			return nil, err
		}
		requests[i] = request
	}
	dialer := net.Dialer{Timeout: CallerDeadline}
	connection, err := dialer.DialContext(ctx, "tcp", m.Outbound())
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	_ = connection.SetDeadline(time.Now().Add(time.Duration(len(line)) * CallerDeadline))
	if _, err := connection.Write(sent.Bytes()); err != nil {
		return nil, err
	}
	return readLine(bufio.NewReader(connection), requests, pause)
}

// readLine reads the answers to requests in their order.
func readLine(reader *bufio.Reader, requests []*http.Request, pause time.Duration) ([]Answer, error) {
	var answers []Answer
	for _, request := range requests {
		time.Sleep(pause)
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return answers, err
		}
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return answers, err
		}
		answers = append(answers, Answer{response.StatusCode, response.Header, string(content)})
		if response.Close {
			break
		}
	}
	return answers, nil
}
