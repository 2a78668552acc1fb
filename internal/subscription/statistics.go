package subscription

import (
	"sync/atomic"

	"github.com/quartzdock/quartzdock/internal/transport"
)

// Statistics holds the counts of a client since Start.
type Statistics struct {
	// Sessions opened, attempts and sessions that failed, redirects followed.
	Sessions, FailedAttempts, Redirects uint64
	// Snapshots and Deltas applied; Gaps are deltas that could not be applied.
	Snapshots, Deltas, Gaps uint64
	// RefusedReverts counts snapshots and deltas older than the table.
	RefusedReverts uint64
	// Renewals that granted a lease.
	Renewals uint64
	// BytesSent and BytesReceived on sessions, as transport counts them.
	BytesSent, BytesReceived uint64
	// FramesSent and FramesReceived count messages on sessions.
	FramesSent, FramesReceived uint64
}

type counters struct {
	sessions, failedAttempts, redirects atomic.Uint64
	snapshots, deltas, gaps             atomic.Uint64
	refusedReverts, renewals            atomic.Uint64

	// Traffic of ended sessions.
	bytesSent, bytesReceived   atomic.Uint64
	framesSent, framesReceived atomic.Uint64
}

// Statistics returns the counts. It may be called from any goroutine.
func (c *Client) Statistics() Statistics {
	counts := &c.counts
	statistics := Statistics{
		Sessions:       counts.sessions.Load(),
		FailedAttempts: counts.failedAttempts.Load(),
		Redirects:      counts.redirects.Load(),
		Snapshots:      counts.snapshots.Load(),
		Deltas:         counts.deltas.Load(),
		Gaps:           counts.gaps.Load(),
		RefusedReverts: counts.refusedReverts.Load(),
		Renewals:       counts.renewals.Load(),
		BytesSent:      counts.bytesSent.Load(),
		BytesReceived:  counts.bytesReceived.Load(),
		FramesSent:     counts.framesSent.Load(),
		FramesReceived: counts.framesReceived.Load(),
	}
	if open := c.session.Load(); open != nil {
		statistics.BytesSent += open.conn.BytesSent()
		statistics.BytesReceived += open.conn.BytesReceived()
		statistics.FramesSent += open.conn.FramesSent()
		statistics.FramesReceived += open.conn.FramesReceived()
	}
	return statistics
}

// addTraffic adds the counts of a connection that has ended.
func (c *counters) addTraffic(conn *transport.Conn) {
	c.bytesSent.Add(conn.BytesSent())
	c.bytesReceived.Add(conn.BytesReceived())
	c.framesSent.Add(conn.FramesSent())
	c.framesReceived.Add(conn.FramesReceived())
}
