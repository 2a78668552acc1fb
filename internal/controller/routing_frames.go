package controller

import (
	"encoding/binary"
	"sync"

	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// routingFrames shares encoded routing messages among the sessions that need
// the same one. A delta, or a snapshot, is merged, filtered and encoded once
// for all subscribers that are at the same revision and follow the same
// services; the number of sessions then costs writes alone.
type routingFrames struct {
	mutex sync.Mutex
	// newest is the revision to which deltas lead, snapshot that of snapshots.
	newest    topology.Revision
	deltas    map[frameKey]*routingFrame
	snapshot  topology.Revision
	snapshots map[frameKey]*routingFrame
}

// frameKey says who can share a frame: from is the subscribers' revision, zero
// for a snapshot.
type frameKey struct {
	from     topology.Revision
	services string
}

// routingFrame is a message that the first session which needs it prepares.
type routingFrame struct {
	once    sync.Once
	encoded *transport.Encoded
	// to is the revision to which a delta leads. Empty is set to the delta where
	// it changes nothing for the services but the revision.
	to    topology.Revision
	empty *wire.RoutingDelta
	found bool
	err   error
}

// serviceKey makes a list of services comparable.
func serviceKey(services []topology.ServiceID) string {
	key := make([]byte, 0, 4*len(services))
	for _, id := range services {
		key = binary.BigEndian.AppendUint32(key, uint32(id))
	}
	return string(key)
}

// delta returns the message that leads from a revision to the view's newest. It
// is not found where a snapshot is needed.
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
			frame.empty = &delta
		}
		frame.encoded, frame.err = transport.Encode(wire.FromController{Delta: &delta})
	})
	return frame
}

func (f *routingFrames) deltaFrame(newest topology.Revision, key frameKey) *routingFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if newest < f.newest {
		return &routingFrame{} // of a view that is no longer the newest
	}
	if newest > f.newest || f.deltas == nil {
		f.newest = newest
		f.deltas = make(map[frameKey]*routingFrame)
	}
	return frameOf(f.deltas, key)
}

// whole returns the message that holds a snapshot's services.
func (f *routingFrames) whole(snapshot *wire.RoutingSnapshot, services []topology.ServiceID) (*transport.Encoded, error) {
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
	if revision < f.snapshot {
		return &routingFrame{}
	}
	if revision > f.snapshot || f.snapshots == nil {
		f.snapshot = revision
		f.snapshots = make(map[frameKey]*routingFrame)
	}
	return frameOf(f.snapshots, key)
}

func frameOf(frames map[frameKey]*routingFrame, key frameKey) *routingFrame {
	frame, known := frames[key]
	if !known {
		frame = &routingFrame{}
		frames[key] = frame
	}
	return frame
}
