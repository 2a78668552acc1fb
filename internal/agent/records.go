package agent

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// recordPath accepts a request record from another agent. The body and the
	// response are each one wire.BetweenAgents in gob encoding.
	recordPath = "/_quartzdock/record"
	// maxRecordBytes bounds an encoded record. It is far above what one shard
	// can hold at the default retention.
	maxRecordBytes = 64 << 20
	// transferAttempts is how often a transfer is tried within transferTimeout.
	transferAttempts = 3
)

// sendRecord sends a request record to another agent and waits for its
// acknowledgement. Sending a record more than once is harmless.
func (agent *Agent) sendRecord(ctx context.Context, address string, transfer wire.RecordTransfer) error {
	if address == "" {
		return errors.New("the next owner's address is not known")
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(wire.BetweenAgents{RecordTransfer: &transfer}); err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	pool, err := upstream.New(upstream.Config{Address: address, MaxConnections: 1, MinWarm: -1, Dial: agent.dialAgent})
	if err != nil {
		return err
	}
	defer pool.Close()
	var failures []error
	for range transferAttempts {
		err := sendRecordOnce(ctx, pool, address, body.Bytes())
		if err == nil {
			return nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failures...)
}

func sendRecordOnce(ctx context.Context, pool *upstream.Pool, address string, body []byte) error {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: recordPath},
		Header:        http.Header{wire.TrailerDigest: {digestText(xxhash.Sum64(body))}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	response, err := pool.Do(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer wire.BetweenAgents
	if err := gob.NewDecoder(io.LimitReader(response.Body, maxRecordBytes)).Decode(&answer); err != nil {
		return fmt.Errorf("answer to record, status %d: %w", response.StatusCode, err)
	}
	if answer.RecordTransferAck == nil {
		return errors.New("answer to record holds no acknowledgement")
	}
	if refusal := answer.RecordTransferAck.Error; refusal != "" {
		return fmt.Errorf("record refused: %s", refusal)
	}
	return nil
}

// receiveRecord imports a request record that another agent sends.
func (agent *Agent) receiveRecord(w http.ResponseWriter, r *http.Request) {
	transfer, err := readRecord(w, r)
	ack := &wire.RecordTransferAck{}
	if err == nil {
		ack.Shard, ack.Epoch = transfer.Shard, transfer.Epoch
		err = agent.record.Import(*transfer)
	}
	if err != nil {
		ack.Error = err.Error()
		w.WriteHeader(http.StatusBadRequest)
	} else {
		agent.counts.recordsReceived.Add(1)
	}
	_ = gob.NewEncoder(w).Encode(wire.BetweenAgents{RecordTransferAck: ack})
}

func readRecord(w http.ResponseWriter, r *http.Request) (*wire.RecordTransfer, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		return nil, err
	}
	if digestText(xxhash.Sum64(body)) != r.Header.Get(wire.TrailerDigest) {
		return nil, errors.New("digest of the record does not match")
	}
	var message wire.BetweenAgents
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&message); err != nil {
		return nil, err
	}
	if message.RecordTransfer == nil {
		return nil, errors.New("message holds no record")
	}
	return message.RecordTransfer, nil
}

// digestText formats a digest for headers and trailers.
func digestText(sum uint64) string {
	const hexadecimal = 16
	return strconv.FormatUint(sum, hexadecimal)
}
