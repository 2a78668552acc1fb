package wire

import (
	"encoding/binary"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Shards is a list of shards in routing data. A restarted process is sent all
// shards of its services, so they travel packed: about 7 bytes for each shard
// of a service that was divided evenly, in place of the 27 that gob needs.
//
// Service and number are varints of the distance from the shard before. Of
// Start the change of the distance is sent, which is about zero for shards of
// equal width in order. A byte holds the phase and whether there is a target;
// owner, target and epoch are uvarints.
type Shards []topology.Shard

const (
	phaseMask  = 7
	flagTarget = 8
)

// GobEncode implements gob.GobEncoder.
func (shards Shards) GobEncode() ([]byte, error) {
	const usual = 12
	packed := make([]byte, 0, usual*len(shards))
	var before shardStep
	for index := range shards {
		packed = before.pack(packed, &shards[index])
	}
	return packed, nil
}

// GobDecode implements gob.GobDecoder.
func (shards *Shards) GobDecode(packed []byte) error {
	const least = 7
	reader := unpacker{rest: packed}
	unpacked := make(Shards, 0, len(packed)/least)
	var before shardStep
	for len(reader.rest) > 0 && !reader.damaged {
		unpacked = append(unpacked, before.unpack(&reader))
	}
	if reader.damaged {
		return errDamaged
	}
	*shards = unpacked
	return nil
}

// shardStep is what the next shard is told by: the one before it and the
// distance between the starts of the last two.
type shardStep struct {
	id    topology.ShardID
	start uint64
	step  uint64
}

func (before *shardStep) pack(packed []byte, shard *topology.Shard) []byte {
	step := uint64(shard.Start) - before.start
	packed = binary.AppendVarint(packed, int64(shard.ID.Service)-int64(before.id.Service))
	packed = binary.AppendVarint(packed, int64(shard.ID.Shard)-int64(before.id.Shard))
	packed = binary.AppendVarint(packed, int64(step-before.step))
	*before = shardStep{id: shard.ID, start: uint64(shard.Start), step: step}
	kind := byte(shard.Phase) & phaseMask
	if shard.Target != 0 {
		kind |= flagTarget
	}
	packed = append(packed, kind)
	packed = binary.AppendUvarint(packed, uint64(shard.Owner))
	if shard.Target != 0 {
		packed = binary.AppendUvarint(packed, uint64(shard.Target))
	}
	return binary.AppendUvarint(packed, uint64(shard.Epoch))
}

func (before *shardStep) unpack(reader *unpacker) topology.Shard {
	service := reader.number(int64(before.id.Service))
	number := reader.number(int64(before.id.Shard))
	before.id = topology.ShardID{Service: topology.ServiceID(service), Shard: topology.ShardNumber(number)}
	before.step += uint64(reader.varint())
	before.start += before.step
	kind := reader.byte()
	if kind > phaseMask|flagTarget {
		reader.damaged = true
	}
	shard := topology.Shard{
		ID:    before.id,
		Start: topology.KeyHash(before.start),
		Phase: topology.ShardPhase(kind & phaseMask),
		Owner: topology.BackendID(reader.uvarint(math.MaxUint32)),
	}
	if kind&flagTarget != 0 {
		shard.Target = topology.BackendID(reader.uvarint(math.MaxUint32))
	}
	shard.Epoch = topology.Epoch(reader.uvarint(math.MaxUint64))
	return shard
}
