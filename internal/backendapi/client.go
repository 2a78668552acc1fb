// Package backendapi is a client of the control API that back ends implement:
// fenced grants, warm-up of a shard's state, health and load
// (docs/operators/backends.md).
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
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

// Paths of the API.
const (
	grantsPath = "/_quartzdock/grants"
	warmPath   = "/_quartzdock/warm"
	healthPath = "/_quartzdock/health"
	loadPath   = "/_quartzdock/load"
)

// maxAnswerBytes limits the size of an answer's body.
const maxAnswerBytes = 1 << 20

// ErrRestarted is returned if the back end has restarted since the clock reading
// from which the end of the lease was computed. It applied no part of the message
// and has no grants.
var ErrRestarted = errors.New("back end was restarted")

// ErrStaleMessage is returned if the back end has already applied a later message.
// It applied no part of this one.
var ErrStaleMessage = errors.New("message was overtaken by a later one")

// ErrSurplusAnswer is returned if an answer came that can't be the one to the message: a back end may
// answer an earlier message twice. It is not known whether it applied this one.
var ErrSurplusAnswer = errors.New("answer to another message")

// LowerEpochError is returned if the back end has seen a higher epoch of a shard.
// It applied no part of the message.
type LowerEpochError struct {
	Shard   string         `json:"shard"`
	Epoch   topology.Epoch `json:"epoch"`
	Highest topology.Epoch `json:"highest"`
}

// Error implements error.
func (e *LowerEpochError) Error() string {
	return fmt.Sprintf("back end saw epoch %d of shard %s, above %d", e.Highest, e.Shard, e.Epoch)
}

// StatusError is returned if the back end answers with an unexpected status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Status) }

// Grant allows the back end to serve a shard at an epoch.
type Grant struct {
	Shard string         `json:"shard"`
	Epoch topology.Epoch `json:"epoch"`
}

// Grants is a message that changes which shards the back end may serve, and until
// when.
type Grants struct {
	Backend topology.BackendID `json:"backend"`
	// Boot is the Boot of the Reading from which ValidUntilMilliseconds was
	// computed. If it is empty, the message only asks for a reading.
	Boot string `json:"boot"`
	// ValidUntilMilliseconds is the time on the back end's clock at which the lease
	// of all grants ends.
	ValidUntilMilliseconds int64 `json:"valid_until_ms"`
	// Sequence increases with each message, also across restarts of the agent; see
	// Reading.Sequence.
	Sequence uint64 `json:"sequence"`
	// Replace removes all earlier grants before Grants are added.
	Replace bool     `json:"replace"`
	Grants  []Grant  `json:"grants"`
	Revoked []string `json:"revoked"`
}

// Reading is a reading of the back end's monotonic clock.
type Reading struct {
	// Boot identifies the run of the back end's process.
	Boot string `json:"boot"`
	// ClockMilliseconds is the time since the start of that run.
	ClockMilliseconds int64 `json:"clock_ms"`
	// Sequence is the highest sequence number of the messages applied.
	Sequence uint64 `json:"sequence"`
}

// Load is the load that the back end reports of itself. It is a hint only.
type Load struct {
	Busy  uint32 `json:"busy"`
	Slots uint32 `json:"slots"`
}

// Client sends messages to one back end.
type Client struct {
	pool *upstream.Pool
	host string
}

// New returns a client of the back end at host, "IP:port". The pool should be
// used by this client alone, so that messages never queue behind requests.
func New(pool *upstream.Pool, host string) *Client {
	return &Client{pool: pool, host: host}
}

// Grant sends a message of grants and returns the back end's clock reading, which
// is also valid with ErrRestarted and ErrStaleMessage. Connection errors wrap
// upstream.ErrNotSent or upstream.ErrInterrupted.
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
		return reading, grantError(status, message, reading)
	case http.StatusConflict:
		lowerEpoch := &LowerEpochError{}
		if err := json.Unmarshal(body, lowerEpoch); err != nil {
			return Reading{}, fmt.Errorf("%s: %w", grantsPath, err)
		}
		if !slices.ContainsFunc(message.Grants, func(grant Grant) bool { return grant.Shard == lowerEpoch.Shard && grant.Epoch == lowerEpoch.Epoch }) {
			return Reading{}, surplusAnswer(status)
		}
		return Reading{}, lowerEpoch
	}
	return Reading{}, &StatusError{Path: grantsPath, Status: status}
}

// surplusAnswer returns the error for an answer with a status that is not to the message.
func surplusAnswer(status int) error {
	return fmt.Errorf("%s: status %d: %w: %w", grantsPath, status, upstream.ErrInterrupted, ErrSurplusAnswer)
}

// grantError returns the error for the status of an answer to a message of grants. Status 412 has two
// causes, which the reading distinguishes. A back end that has applied the message, or a later one,
// reads at least its sequence number.
func grantError(status int, message Grants, reading Reading) error {
	switch {
	case status == http.StatusPreconditionFailed && message.Boot != reading.Boot:
		return ErrRestarted
	case message.Boot == "":
		return nil // it asked only for a reading
	case message.Boot != reading.Boot || reading.Sequence < message.Sequence:
		return surplusAnswer(status)
	case status == http.StatusOK:
		return nil
	}
	return ErrStaleMessage
}

// Warm asks the back end to load a shard's state, and returns when it is ready.
func (client *Client) Warm(ctx context.Context, shard topology.ShardID) error {
	message := struct {
		Shard string `json:"shard"`
	}{shard.String()}
	return client.expectOK(ctx, http.MethodPost, warmPath, message)
}

// Health returns nil if the back end reports that it is healthy. This is a hint
// only.
func (client *Client) Health(ctx context.Context) error {
	return client.expectOK(ctx, http.MethodGet, healthPath, nil)
}

// Load returns the load that the back end reports.
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

// call sends one message and returns the status and the body of the answer.
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

// Clock converts times on this process's monotonic clock to times on the back
// end's clock. Its zero value has no reading.
type Clock struct {
	// Drift is the maximum relative difference between the rates of the two clocks.
	Drift      float64
	reading    Reading
	receivedAt time.Duration
}

// Observe records a reading and the time at which it was received. The back end
// read its clock before that, so converted times are never late.
func (clock *Clock) Observe(reading Reading, receivedAt time.Duration) {
	clock.reading = reading
	clock.receivedAt = receivedAt
}

// Known reports whether a reading has been observed.
func (clock *Clock) Known() bool { return clock.reading.Boot != "" }

// Boot returns the Boot of the last reading.
func (clock *Clock) Boot() string { return clock.reading.Boot }

// Convert returns a time on the back end's clock, in milliseconds, that is reached
// no later than this process's clock reaches until.
func (clock *Clock) Convert(until time.Duration) int64 {
	remaining := until - clock.receivedAt
	if remaining < 0 {
		return 0
	}
	shortened := time.Duration(float64(remaining) * (1 - clock.Drift))
	return clock.reading.ClockMilliseconds + shortened.Milliseconds()
}
