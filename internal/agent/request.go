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
	headerTrue    = "true"
	decimal       = 10
	hexadecimal   = 16
	keyBits       = 64
	shardIDBits   = 32
	epochBits     = 64
	deadlineBits  = 63
	maxDeadlineMs = int64(24 * time.Hour / time.Millisecond)
)

// errShardRequired is returned because each record of request ids belongs to a
// shard.
var errShardRequired = errors.New("a non-repeatable request must name its shard")

// request holds what the router states about a request in its headers.
type request struct {
	// bound is set if the request belongs to a shard. Other requests may run at
	// any back end of the service.
	bound bool
	shard topology.ShardID
	epoch topology.Epoch
	// key is the key's hash, valid if hasKey is set.
	key           topology.KeyHash
	hasKey        bool
	class         topology.RequestClass
	caller        string
	nonRepeatable bool
	// id is set for non-repeatable requests.
	id requestid.ID
	// admittedTo is the shard with which the request is registered, once
	// admitted.
	admittedTo *servedShard
	// timeout is the time left on arrival, deadline the time at which it ends.
	timeout  time.Duration
	deadline time.Time
}

// source returns the shard and caller to which a failure is attributed.
func (parsed *request) source() failureSource {
	return failureSource{shard: parsed.shard, caller: parsed.caller}
}

// parseRequest reads the headers. It returns all errors joined.
func parseRequest(r *http.Request, defaultTimeout time.Duration) (request, error) {
	header := r.Header
	var problems []error
	addProblem := func(name string, err error) {
		if err != nil {
			problems = append(problems, fmt.Errorf("header %s: %w", name, err))
		}
	}
	parsed := request{
		class:         topology.ClassLookup,
		caller:        header.Get(wire.HeaderCaller),
		nonRepeatable: header.Get(wire.HeaderNonRepeatable) == headerTrue,
		timeout:       defaultTimeout,
	}
	if header.Get(wire.HeaderClass) == classBulk {
		parsed.class = topology.ClassBulk
	}
	parsed.bound = header.Get(wire.HeaderShard) != ""
	var err error
	if parsed.bound {
		parsed.shard, err = parseShard(header.Get(wire.HeaderShard))
		addProblem(wire.HeaderShard, err)
		epoch, err := strconv.ParseUint(header.Get(wire.HeaderEpoch), decimal, epochBits)
		parsed.epoch = topology.Epoch(epoch)
		addProblem(wire.HeaderEpoch, err)
	}
	if text := header.Get(wire.HeaderKey); text != "" {
		hash, err := strconv.ParseUint(text, hexadecimal, keyBits)
		parsed.key, parsed.hasKey = topology.KeyHash(hash), err == nil
		addProblem(wire.HeaderKey, err)
	}
	if text := header.Get(wire.HeaderDeadline); text != "" {
		parsed.timeout, err = parseDeadline(text)
		addProblem(wire.HeaderDeadline, err)
	}
	if parsed.nonRepeatable && !parsed.bound {
		addProblem(wire.HeaderShard, errShardRequired)
	}
	if parsed.nonRepeatable {
		parsed.id, err = requestid.Parse(header.Get(wire.HeaderRequestID))
		addProblem(wire.HeaderRequestID, err)
	}
	return parsed, errors.Join(problems...)
}

// parseShard parses the format of topology.ShardID.String.
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
