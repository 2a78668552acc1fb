package controller

import (
	"encoding/binary"
	"sync"

	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// routingFrames caches encoded routing messages that several sessions need. A
// delta or a snapshot is merged, filtered and encoded once for all subscribers
// that are at the same revision and subscribe to the same services, so that an
// additional session costs only the write.
type routingFrames struct {
	mutex sync.Mutex
	// deltaRevision is the revision to which the cached deltas lead,
	// snapshotRevision the one of the cached snapshots.
	deltaRevision    topology.Revision
	deltas           map[frameKey]*routingFrame
	snapshotRevision topology.Revision
	snapshots        map[frameKey]*routingFrame
}

// frameKey identifies the subscribers that can share a frame. from is their
// current revision, zero for a snapshot.
type frameKey struct {
	from     topology.Revision
	services string
}

// routingFrame is an encoded message. The first session that needs it encodes
// it.
type routingFrame struct {
	once    sync.Once
	encoded *transport.Encoded
	// to is the revision to which a delta leads. revisionOnly is the delta itself
	// if it changes only the revision for the services, otherwise nil. found is
	// false if a snapshot is needed instead of a delta.
	to           topology.Revision
	revisionOnly *wire.RoutingDelta
	found        bool
	err          error
}

// serviceKey returns a list of services as a comparable map key.
func serviceKey(services []topology.ServiceID) string {
	key := make([]byte, 0, 4*len(services))
	for _, id := range services {
		key = binary.BigEndian.AppendUint32(key, uint32(id))
	}
	return string(key)
}

// delta returns the message that leads from a revision to the view's newest.
// Its found field is false if a snapshot is needed instead.
func (f *routingFrames) delta(view *distribution.View, from topology.Revision, services []topology.ServiceID) *routingFrame {
	frame := f.deltaFrame(view.Newest(), frameKey{from, serviceKey(services)})
	frame.once.Do(func() {
		delta, found := view.Since(from, services...)
		if !found {
			return
		}
		frame.found = true
		frame.to = delta.To
		if delta.IsEmpty() {
			frame.revisionOnly = &delta
		}
		frame.encoded, frame.err = transport.Encode(wire.FromController{Delta: &delta})
	})
	return frame
}

func (f *routingFrames) deltaFrame(newest topology.Revision, key frameKey) *routingFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if newest < f.deltaRevision {
		return &routingFrame{} // the view is outdated, so the frame is not cached
	}
	if newest > f.deltaRevision || f.deltas == nil {
		f.deltaRevision = newest
		f.deltas = make(map[frameKey]*routingFrame)
	}
	return getOrCreateFrame(f.deltas, key)
}

// encodedSnapshot returns the encoded message with the part of a snapshot that
// concerns the services.
func (f *routingFrames) encodedSnapshot(snapshot *wire.RoutingSnapshot, services []topology.ServiceID) (*transport.Encoded, error) {
	frame := f.snapshotFrame(snapshot.Revision, frameKey{services: serviceKey(services)})
	frame.once.Do(func() {
		filtered := distribution.FilterSnapshot(*snapshot, services)
		frame.encoded, frame.err = transport.Encode(wire.FromController{Snapshot: &filtered})
	})
	return frame.encoded, frame.err
}

func (f *routingFrames) snapshotFrame(revision topology.Revision, key frameKey) *routingFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.snapshotRevision {
		return &routingFrame{}
	}
	if revision > f.snapshotRevision || f.snapshots == nil {
		f.snapshotRevision = revision
		f.snapshots = make(map[frameKey]*routingFrame)
	}
	return getOrCreateFrame(f.snapshots, key)
}

func getOrCreateFrame(frames map[frameKey]*routingFrame, key frameKey) *routingFrame {
	frame, known := frames[key]
	if !known {
		frame = &routingFrame{}
		frames[key] = frame
	}
	return frame
}
