package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// ShardLoads is a report on several shards. An agent sends one or two a second
// for each of its shards, so it travels packed: about 6 bytes a shard in place
// of the 12 that gob needs for the struct.
//
// Each shard is a varint of the distance from the number before it, a uvarint
// of Requests shifted by three with the flags, and a uvarint of BusyMicros; by
// the flags, Refused, LongRunning and HotKeys follow.
type ShardLoads []ShardLoad

// Flags beside ShardLoad.Requests.
const (
	flagRefused     = 1
	flagHotKeys     = 2
	flagLongRunning = 4
	requestsBits    = 3
)

// GobEncode implements gob.GobEncoder.
func (loads ShardLoads) GobEncode() ([]byte, error) {
	const usual = 8
	packed := make([]byte, 0, usual*len(loads))
	var previous topology.ShardNumber
	for index := range loads {
		load := &loads[index]
		if len(load.HotKeys) > MaximumHotKeys {
			return nil, fmt.Errorf("wire: shard %d has %d hot keys, want at most %d", load.Shard, len(load.HotKeys), MaximumHotKeys)
		}
		packed = binary.AppendVarint(packed, int64(load.Shard)-int64(previous))
		packed = load.pack(packed)
		previous = load.Shard
	}
	return packed, nil
}

func (load *ShardLoad) pack(packed []byte) []byte {
	requests := uint64(load.Requests) << requestsBits
	if load.Refused > 0 {
		requests |= flagRefused
	}
	if load.LongRunning > 0 {
		requests |= flagLongRunning
	}
	if len(load.HotKeys) > 0 {
		requests |= flagHotKeys
	}
	packed = binary.AppendUvarint(packed, requests)
	packed = binary.AppendUvarint(packed, uint64(load.BusyMicros))
	if load.Refused > 0 {
		packed = binary.AppendUvarint(packed, uint64(load.Refused))
	}
	if load.LongRunning > 0 {
		packed = binary.AppendUvarint(packed, uint64(load.LongRunning))
	}
	if len(load.HotKeys) == 0 {
		return packed
	}
	packed = append(packed, byte(len(load.HotKeys)))
	for _, hot := range load.HotKeys {
		packed = binary.BigEndian.AppendUint64(packed, uint64(hot.Key))
		packed = binary.BigEndian.AppendUint32(packed, math.Float32bits(hot.Share))
	}
	return packed
}

// GobDecode implements gob.GobDecoder.
func (loads *ShardLoads) GobDecode(packed []byte) error {
	reader := unpacker{rest: packed}
	var unpacked ShardLoads
	var number uint32
	for len(reader.rest) > 0 && !reader.damaged {
		number = reader.number(int64(number))
		unpacked = append(unpacked, reader.load(topology.ShardNumber(number)))
	}
	if reader.damaged {
		return errDamaged
	}
	*loads = unpacked
	return nil
}

func (r *unpacker) load(number topology.ShardNumber) ShardLoad {
	requests := r.uvarint(math.MaxUint32<<requestsBits | flagRefused | flagHotKeys | flagLongRunning)
	load := ShardLoad{
		Shard:      number,
		Requests:   uint32(requests >> requestsBits),
		BusyMicros: uint32(r.uvarint(math.MaxUint32)),
	}
	if requests&flagRefused != 0 {
		load.Refused = uint32(r.uvarint(math.MaxUint32))
	}
	if requests&flagLongRunning != 0 {
		load.LongRunning = uint32(r.uvarint(math.MaxUint32))
	}
	if requests&flagHotKeys != 0 {
		load.HotKeys = r.hotKeys()
	}
	return load
}

func (r *unpacker) hotKeys() []KeyLoad {
	const keyBytes = 8 + 4
	count := r.byte()
	if count > MaximumHotKeys {
		r.damaged = true
		return nil
	}
	keys := make([]KeyLoad, 0, count)
	for range count {
		packed := r.bytes(keyBytes)
		if r.damaged {
			return nil
		}
		keys = append(keys, KeyLoad{
			Key:   topology.KeyHash(binary.BigEndian.Uint64(packed)),
			Share: math.Float32frombits(binary.BigEndian.Uint32(packed[8:])),
		})
	}
	return keys
}
