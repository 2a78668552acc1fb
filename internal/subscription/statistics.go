package subscription

import "sync/atomic"

// Statistics counts what a client did since Start.
type Statistics struct {
	// Sessions opened, attempts that came to nothing, redirects followed.
	Sessions, FailedAttempts, Redirects uint64
	// Snapshots and Deltas put in force; Gaps are deltas that did not fit.
	Snapshots, Deltas, Gaps uint64
	// RefusedReverts counts snapshots and deltas older than the table.
	RefusedReverts uint64
	// Renewals granted.
	Renewals uint64
	// BytesSent and BytesReceived on sessions, as transport counts them.
	BytesSent, BytesReceived uint64
}

type counters struct {
	sessions, failedAttempts, redirects atomic.Uint64
	snapshots, deltas, gaps             atomic.Uint64
	refusedReverts, renewals            atomic.Uint64
	bytesSent, bytesReceived            atomic.Uint64 // of ended sessions
}

// Statistics may be called from any goroutine.
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
	}
	if open := c.session.Load(); open != nil {
		statistics.BytesSent += open.conn.BytesSent()
		statistics.BytesReceived += open.conn.BytesReceived()
	}
	return statistics
}
