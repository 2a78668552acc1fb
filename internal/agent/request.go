package agent

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	classBulk     = "bulk"
	markTrue      = "true"
	decimal       = 10
	hexadecimal   = 16
	keyBits       = 64
	shardIDBits   = 32
	epochBits     = 64
	deadlineBits  = 63
	maxDeadlineMs = int64(24 * time.Hour / time.Millisecond)
)

// errUnboundRecord: the record of request ids belongs to a shard.
var errUnboundRecord = errors.New("a non-repeatable request must name its shard")

// request is what a router says of a request in its headers.
type request struct {
	// bound requests belong to a shard; others may run at any back end of the
	// service.
	bound bool
	shard topology.ShardID
	epoch topology.Epoch
	// key is the position of the key, if hasKey.
	key           topology.KeyHash
	hasKey        bool
	class         topology.RequestClass
	caller        string
	nonRepeatable bool
	// id is set for non-repeatable requests.
	id requestid.ID
	// served counts the request from its admission on.
	served *served
	// timeout is the time left on arrival, and deadline when it ends.
	timeout  time.Duration
	deadline time.Time
}

// source says whose request it is.
func (parsed *request) source() failureSource {
	return failureSource{shard: parsed.shard, caller: parsed.caller}
}

// parseRequest reads the headers. All findings are joined.
func parseRequest(r *http.Request, defaultTimeout time.Duration) (request, error) {
	header := r.Header
	var findings []error
	note := func(name string, err error) {
		if err != nil {
			findings = append(findings, fmt.Errorf("header %s: %w", name, err))
		}
	}
	parsed := request{
		class:         topology.ClassLookup,
		caller:        header.Get(wire.HeaderCaller),
		nonRepeatable: header.Get(wire.HeaderNonRepeatable) == markTrue,
		timeout:       defaultTimeout,
	}
	if header.Get(wire.HeaderClass) == classBulk {
		parsed.class = topology.ClassBulk
	}
	parsed.bound = header.Get(wire.HeaderShard) != ""
	var err error
	if parsed.bound {
		parsed.shard, err = parseShard(header.Get(wire.HeaderShard))
		note(wire.HeaderShard, err)
		epoch, err := strconv.ParseUint(header.Get(wire.HeaderEpoch), decimal, epochBits)
		parsed.epoch = topology.Epoch(epoch)
		note(wire.HeaderEpoch, err)
	}
	if text := header.Get(wire.HeaderKey); text != "" {
		position, err := strconv.ParseUint(text, hexadecimal, keyBits)
		parsed.key, parsed.hasKey = topology.KeyHash(position), err == nil
		note(wire.HeaderKey, err)
	}
	if text := header.Get(wire.HeaderDeadline); text != "" {
		parsed.timeout, err = parseDeadline(text)
		note(wire.HeaderDeadline, err)
	}
	if parsed.nonRepeatable && !parsed.bound {
		note(wire.HeaderShard, errUnboundRecord)
	}
	if parsed.nonRepeatable {
		parsed.id, err = requestid.Parse(header.Get(wire.HeaderRequestID))
		note(wire.HeaderRequestID, err)
	}
	return parsed, errors.Join(findings...)
}

// parseShard reads topology.ShardID.String.
func parseShard(text string) (topology.ShardID, error) {
	service, shard, found := strings.Cut(text, "/")
	if !found {
		return topology.ShardID{}, fmt.Errorf("%.40q is not service/shard", text)
	}
	serviceNumber, err := strconv.ParseUint(service, decimal, shardIDBits)
	if err != nil {
		return topology.ShardID{}, err
	}
	shardNumber, err := strconv.ParseUint(shard, decimal, shardIDBits)
	if err != nil {
		return topology.ShardID{}, err
	}
	return topology.ShardID{
		Service: topology.ServiceID(serviceNumber),
		Shard:   topology.ShardNumber(shardNumber),
	}, nil
}

func parseDeadline(text string) (time.Duration, error) {
	milliseconds, err := strconv.ParseInt(text, decimal, deadlineBits)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(milliseconds, maxDeadlineMs)) * time.Millisecond, nil
}
