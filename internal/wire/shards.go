package wire

import (
	"encoding/binary"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Shards is a list of shards in routing data. A restarted process receives all
// shards of its services, so the list has a compact encoding: about 7 bytes per
// shard of an evenly divided service, where gob needs 27.
//
// Service and shard number are varints of the difference from the preceding
// shard. Start is delta-of-delta encoded, which gives about zero for consecutive
// shards of equal width. One byte holds the phase and a flag for the target;
// owner, target and epoch are uvarints.
type Shards []topology.Shard

// Bits of the byte that holds the phase and the flags of a shard.
const (
	phaseMask  = 7
	flagTarget = 8
)

// GobEncode implements gob.GobEncoder.
func (shards Shards) GobEncode() ([]byte, error) {
	const typicalSize = 12
	encoded := make([]byte, 0, typicalSize*len(shards))
	var previous deltaState
	for index := range shards {
		encoded = previous.appendShard(encoded, &shards[index])
	}
	return encoded, nil
}

// GobDecode implements gob.GobDecoder.
func (shards *Shards) GobDecode(encoded []byte) error {
	const minSize = 7
	input := decoder{remaining: encoded}
	decoded := make(Shards, 0, len(encoded)/minSize)
	var previous deltaState
	for len(input.remaining) > 0 && !input.corrupt {
		decoded = append(decoded, previous.decodeShard(&input))
	}
	if input.corrupt {
		return errCorrupt
	}
	*shards = decoded
	return nil
}

// deltaState is the state that the next shard is encoded against: the preceding
// shard, and the distance between the starts of the last two.
type deltaState struct {
	id       topology.ShardID
	start    uint64
	distance uint64
}

func (previous *deltaState) appendShard(encoded []byte, shard *topology.Shard) []byte {
	distance := uint64(shard.Start) - previous.start
	encoded = binary.AppendVarint(encoded, int64(shard.ID.Service)-int64(previous.id.Service))
	encoded = binary.AppendVarint(encoded, int64(shard.ID.Shard)-int64(previous.id.Shard))
	encoded = binary.AppendVarint(encoded, int64(distance-previous.distance))
	*previous = deltaState{id: shard.ID, start: uint64(shard.Start), distance: distance}
	flags := byte(shard.Phase) & phaseMask
	if shard.Target != 0 {
		flags |= flagTarget
	}
	encoded = append(encoded, flags)
	encoded = binary.AppendUvarint(encoded, uint64(shard.Owner))
	if shard.Target != 0 {
		encoded = binary.AppendUvarint(encoded, uint64(shard.Target))
	}
	return binary.AppendUvarint(encoded, uint64(shard.Epoch))
}

func (previous *deltaState) decodeShard(input *decoder) topology.Shard {
	service := input.addDelta(int64(previous.id.Service))
	number := input.addDelta(int64(previous.id.Shard))
	previous.id = topology.ShardID{Service: topology.ServiceID(service), Shard: topology.ShardNumber(number)}
	previous.distance += uint64(input.varint())
	previous.start += previous.distance
	flags := input.byte()
	if flags > phaseMask|flagTarget {
		input.corrupt = true
	}
	shard := topology.Shard{
		ID:    previous.id,
		Start: topology.KeyHash(previous.start),
		Phase: topology.ShardPhase(flags & phaseMask),
		Owner: topology.BackendID(input.uvarint(math.MaxUint32)),
	}
	if flags&flagTarget != 0 {
		shard.Target = topology.BackendID(input.uvarint(math.MaxUint32))
	}
	shard.Epoch = topology.Epoch(input.uvarint(math.MaxUint64))
	return shard
}
