package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// ShardLoads is a load report on several shards. An agent reports each of its
// shards once or twice a second, so the list has a compact encoding: about 6
// bytes per shard, where gob needs 12 for the struct.
//
// Each shard is a varint of the difference from the preceding shard number, a
// uvarint of Requests shifted left by requestsShift with the flags in the low
// bits, and a uvarint of BusyMicros. Refused, LongRunning and HotKeys follow if
// their flags are set.
type ShardLoads []ShardLoad

// Flags in the low bits of the encoded ShardLoad.Requests.
const (
	flagRefused     = 1
	flagHotKeys     = 2
	flagLongRunning = 4
	requestsShift   = 3
)

// GobEncode implements gob.GobEncoder.
func (loads ShardLoads) GobEncode() ([]byte, error) {
	const typicalSize = 8
	encoded := make([]byte, 0, typicalSize*len(loads))
	var previous topology.ShardNumber
	for index := range loads {
		load := &loads[index]
		if len(load.HotKeys) > MaxHotKeys {
			return nil, fmt.Errorf("wire: shard %d has %d hot keys, want at most %d", load.Shard, len(load.HotKeys), MaxHotKeys)
		}
		encoded = binary.AppendVarint(encoded, int64(load.Shard)-int64(previous))
		encoded = load.appendTo(encoded)
		previous = load.Shard
	}
	return encoded, nil
}

// appendTo appends the encoded load without its shard number.
func (load *ShardLoad) appendTo(encoded []byte) []byte {
	requests := uint64(load.Requests) << requestsShift
	if load.Refused > 0 {
		requests |= flagRefused
	}
	if load.LongRunning > 0 {
		requests |= flagLongRunning
	}
	if len(load.HotKeys) > 0 {
		requests |= flagHotKeys
	}
	encoded = binary.AppendUvarint(encoded, requests)
	encoded = binary.AppendUvarint(encoded, uint64(load.BusyMicros))
	if load.Refused > 0 {
		encoded = binary.AppendUvarint(encoded, uint64(load.Refused))
	}
	if load.LongRunning > 0 {
		encoded = binary.AppendUvarint(encoded, uint64(load.LongRunning))
	}
	if len(load.HotKeys) == 0 {
		return encoded
	}
	encoded = append(encoded, byte(len(load.HotKeys)))
	for _, hotKey := range load.HotKeys {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(hotKey.Key))
		encoded = binary.BigEndian.AppendUint32(encoded, math.Float32bits(hotKey.Share))
	}
	return encoded
}

// GobDecode implements gob.GobDecoder.
func (loads *ShardLoads) GobDecode(encoded []byte) error {
	input := decoder{remaining: encoded}
	var decoded ShardLoads
	var number uint32
	for len(input.remaining) > 0 && !input.corrupt {
		number = input.addDelta(int64(number))
		decoded = append(decoded, input.shardLoad(topology.ShardNumber(number)))
	}
	if input.corrupt {
		return errCorrupt
	}
	*loads = decoded
	return nil
}

// shardLoad reads what appendTo wrote.
func (d *decoder) shardLoad(number topology.ShardNumber) ShardLoad {
	requests := d.uvarint(math.MaxUint32<<requestsShift | flagRefused | flagHotKeys | flagLongRunning)
	load := ShardLoad{
		Shard:      number,
		Requests:   uint32(requests >> requestsShift),
		BusyMicros: uint32(d.uvarint(math.MaxUint32)),
	}
	if requests&flagRefused != 0 {
		load.Refused = uint32(d.uvarint(math.MaxUint32))
	}
	if requests&flagLongRunning != 0 {
		load.LongRunning = uint32(d.uvarint(math.MaxUint32))
	}
	if requests&flagHotKeys != 0 {
		load.HotKeys = d.hotKeys()
	}
	return load
}

func (d *decoder) hotKeys() []KeyLoad {
	const keyBytes = 8 + 4
	count := d.byte()
	if count > MaxHotKeys {
		d.corrupt = true
		return nil
	}
	keys := make([]KeyLoad, 0, count)
	for range count {
		encoded := d.bytes(keyBytes)
		if d.corrupt {
			return nil
		}
		keys = append(keys, KeyLoad{
			Key:   topology.KeyHash(binary.BigEndian.Uint64(encoded)),
			Share: math.Float32frombits(binary.BigEndian.Uint32(encoded[8:])),
		})
	}
	return keys
}
