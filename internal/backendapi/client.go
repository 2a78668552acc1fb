// Package backendapi speaks the back ends' side protocol: fenced grants, warming
// of a shard's state, health and load (docs/operators/backends.md).
package backendapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

// Paths of the protocol.
const (
	grantsPath = "/_quartzdock/grants"
	warmPath   = "/_quartzdock/warm"
	healthPath = "/_quartzdock/health"
	loadPath   = "/_quartzdock/load"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 1 << 20

// ErrOtherBoot says that the back end was restarted since the reading that a
// lease's end was computed from; it took nothing of the message and has no
// grants.
var ErrOtherBoot = errors.New("back end was restarted")

// ErrOvertaken says that the back end took a later message before; it took
// nothing of this one.
var ErrOvertaken = errors.New("message was overtaken by a later one")

// LowerEpochError says that the back end has seen a higher epoch of a shard; it
// took nothing of the message.
type LowerEpochError struct {
	Shard   string         `json:"shard"`
	Epoch   topology.Epoch `json:"epoch"`
	Highest topology.Epoch `json:"highest"`
}

// Error implements error.
func (e *LowerEpochError) Error() string {
	return fmt.Sprintf("back end saw epoch %d of shard %s, above %d", e.Highest, e.Shard, e.Epoch)
}

// StatusError says that the back end answered with an unexpected status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Status) }

// Grant gives the back end a shard at an epoch.
type Grant struct {
	Shard string         `json:"shard"`
	Epoch topology.Epoch `json:"epoch"`
}

// Grants is a message that changes what the back end may serve, and until when.
type Grants struct {
	Backend topology.BackendID `json:"backend"`
	// Boot is that of the Reading which ValidUntilMilliseconds builds on. Empty
	// asks for a reading only.
	Boot string `json:"boot"`
	// ValidUntilMilliseconds is the end of the lease of all grants as a reading
	// of the back end's clock.
	ValidUntilMilliseconds int64 `json:"valid_until_ms"`
	// Sequence grows with each message, over restarts of the agent too: see
	// Reading.Sequence.
	Sequence uint64 `json:"sequence"`
	// Replace drops all earlier grants first.
	Replace bool     `json:"replace"`
	Grants  []Grant  `json:"grants"`
	Revoked []string `json:"revoked"`
}

// Reading is the back end's monotonic clock, in milliseconds since its start.
type Reading struct {
	Boot              string `json:"boot"`
	ClockMilliseconds int64  `json:"clock_ms"`
	// Sequence is the highest of the messages taken.
	Sequence uint64 `json:"sequence"`
}

// Load is the back end's own word on its load, a hint only.
type Load struct {
	Busy  uint32 `json:"busy"`
	Slots uint32 `json:"slots"`
}

// Client sends messages to one back end.
type Client struct {
	pool *upstream.Pool
	host string
}

// New returns a client over a pool of its own, so that messages never wait
// behind requests. Host is the back end's "IP:port".
func New(pool *upstream.Pool, host string) *Client {
	return &Client{pool: pool, host: host}
}

// Grant sends a message of grants. With ErrOtherBoot and ErrOvertaken the
// reading is valid too.
// Errors of the connection wrap upstream.ErrNotSent or ErrInterrupted.
func (client *Client) Grant(ctx context.Context, message Grants) (Reading, error) {
	status, body, err := client.call(ctx, http.MethodPut, grantsPath, message)
	if err != nil {
		return Reading{}, err
	}
	switch status {
	case http.StatusOK, http.StatusPreconditionFailed:
		var reading Reading
		if err := json.Unmarshal(body, &reading); err != nil {
			return Reading{}, fmt.Errorf("%s: %w", grantsPath, err)
		}
		return reading, refusalOf(status, message, reading)
	case http.StatusConflict:
		lower := &LowerEpochError{}
		if err := json.Unmarshal(body, lower); err != nil {
			return Reading{}, fmt.Errorf("%s: %w", grantsPath, err)
		}
		return Reading{}, lower
	}
	return Reading{}, &StatusError{Path: grantsPath, Status: status}
}

// refusalOf tells the reasons of status 412 apart.
func refusalOf(status int, message Grants, reading Reading) error {
	switch {
	case status == http.StatusOK:
		return nil
	case message.Boot == reading.Boot:
		return ErrOvertaken
	}
	return ErrOtherBoot
}

// Warm returns when the shard's state is ready.
func (client *Client) Warm(ctx context.Context, shard topology.ShardID) error {
	message := struct {
		Shard string `json:"shard"`
	}{shard.String()}
	return client.expectOK(ctx, http.MethodPost, warmPath, message)
}

// Health returns nil where the back end calls itself healthy, a hint only.
func (client *Client) Health(ctx context.Context) error {
	return client.expectOK(ctx, http.MethodGet, healthPath, nil)
}

// Load asks for the back end's load.
func (client *Client) Load(ctx context.Context) (Load, error) {
	status, body, err := client.call(ctx, http.MethodGet, loadPath, nil)
	if err != nil {
		return Load{}, err
	}
	if status != http.StatusOK {
		return Load{}, &StatusError{Path: loadPath, Status: status}
	}
	var load Load
	if err := json.Unmarshal(body, &load); err != nil {
		return Load{}, fmt.Errorf("%s: %w", loadPath, err)
	}
	return load, nil
}

func (client *Client) expectOK(ctx context.Context, method, path string, message any) error {
	status, _, err := client.call(ctx, method, path, message)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &StatusError{Path: path, Status: status}
	}
	return nil
}

// call sends one message and returns the whole answer.
func (client *Client) call(ctx context.Context, method, path string, message any) (status int, body []byte, err error) {
	request := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: client.host, Path: path},
		Header: http.Header{},
	}
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return 0, nil, fmt.Errorf("%s: %w", path, err)
		}
		request.Body = io.NopCloser(bytes.NewReader(encoded))
		request.ContentLength = int64(len(encoded))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.pool.Do(ctx, request)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", path, err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w: %w", path, upstream.ErrInterrupted, err)
	}
	return response.StatusCode, body, nil
}

// Clock converts times of this process's monotonic clock into readings of the
// back end's. Its zero value knows no reading.
type Clock struct {
	// Drift bounds how much faster the back end's clock may run, as a share.
	Drift   float64
	reading Reading
	at      time.Duration
}

// Observe takes a reading that was received at a time. The reading was made
// before that, so the converted times are never late.
func (clock *Clock) Observe(reading Reading, receivedAt time.Duration) {
	clock.reading = reading
	clock.at = receivedAt
}

// Known says that a reading was observed.
func (clock *Clock) Known() bool { return clock.reading.Boot != "" }

// Boot of the last reading.
func (clock *Clock) Boot() string { return clock.reading.Boot }

// Convert returns a reading, in milliseconds, that the back end's clock shows
// no later than this process's clock shows the given time.
func (clock *Clock) Convert(until time.Duration) int64 {
	ahead := until - clock.at
	if ahead < 0 {
		return 0
	}
	shortened := time.Duration(float64(ahead) * (1 - clock.Drift))
	return clock.reading.ClockMilliseconds + shortened.Milliseconds()
}
