package replica

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/snap"
)

// Snapshots are pulled by the receiver. The leader offers a snapshot; the
// receiver requests one part after the other and checks the digest of the whole.
// After a lost connection, a restart of either side or a change of leader the
// download resumes where it stopped, as long as the same snapshot is offered.

// snapshotOffer replaces a MessageSnapshot. It has no snapshot data.
type snapshotOffer struct {
	Message consensus.Message
	Image   snap.Image
}

// snapshotPartRequest requests the part at an offset.
type snapshotPartRequest struct {
	Digest snap.Digest
	Offset int64
}

// snapshotPart is the response to a snapshotPartRequest.
type snapshotPart struct {
	Digest snap.Digest
	Offset int64
	Data   []byte
}

const (
	partSize = 256 << 10
	// partRetryInterval is the time after which a part that has not arrived is
	// requested again.
	partRetryInterval = time.Second
)

// snapshotDownload is the receiver's state of a snapshot transfer.
type snapshotDownload struct {
	incoming *snap.Incoming
	offer    snapshotOffer
	// address is that of the sender.
	address     string
	requestedAt time.Duration
}

// offerSnapshot offers the newest snapshot to a replica, instead of sending its
// data.
func (c *control) offerSnapshot(m consensus.Message, address string) {
	image, ok, err := c.r.files.snapshots.Newest()
	if err != nil {
		c.r.fail(err)
		return
	}
	if ok && image.Index >= m.Snapshot.Meta.Index {
		c.r.peers.sendTo(address, envelope{Offer: &snapshotOffer{m, image}})
	}
}

func (c *control) receiveOffer(offer snapshotOffer, address string) {
	if c.core == nil || offer.Message.Snapshot == nil {
		return
	}
	if offer.Image.Index <= c.core.Status().Commit {
		c.step(offer.Message)
		return
	}
	d := &c.download
	known := d.incoming != nil && d.incoming.Image() == offer.Image
	d.offer = offer
	if known && d.address == address && c.r.Now() < d.requestedAt+partRetryInterval {
		return
	}
	d.address = address
	if !known {
		c.abortDownload()
		incoming, err := c.r.files.snapshots.Receive(offer.Image)
		if !c.downloadSucceeded(err) {
			return
		}
		d.incoming, d.offer, d.address = incoming, offer, address
	}
	c.continueDownload()
}

// downloadSucceeded reports whether a step of the download succeeded. If the disk
// is full, the download is aborted until the next offer. Any other error stops
// the replica.
func (c *control) downloadSucceeded(err error) bool {
	switch {
	case err == nil:
		return true
	case !errors.Is(err, storage.ErrDiskFull):
		c.r.fail(err)
	}
	c.abortDownload()
	return false
}

// continueDownload requests the next part, or installs the snapshot if all parts
// are there.
func (c *control) continueDownload() {
	d := &c.download
	if !d.incoming.Complete() {
		d.requestedAt = c.r.Now()
		c.r.peers.sendTo(d.address, envelope{Want: &snapshotPartRequest{d.offer.Image.Digest, d.incoming.Received()}})
		return
	}
	snapshot, err := d.incoming.Finish()
	offer := d.offer
	c.download = snapshotDownload{}
	if err != nil {
		c.r.config.Logger.Warn("received snapshot is damaged; downloading it again", "error", err)
		return
	}
	offer.Message.Snapshot = &snapshot
	c.step(offer.Message)
}

func (c *control) abortDownload() {
	if c.download.incoming != nil {
		_ = c.download.incoming.Close()
	}
	c.download = snapshotDownload{}
}

func (c *control) sendPart(request snapshotPartRequest, address string) {
	data, err := c.r.files.snapshots.ReadPart(request.Digest, request.Offset, partSize)
	if err != nil {
		c.r.fail(err)
		return
	}
	if len(data) > 0 {
		c.r.peers.sendTo(address, envelope{Part: &snapshotPart{request.Digest, request.Offset, data}})
	}
}

func (c *control) receivePart(part snapshotPart) {
	d := &c.download
	if d.incoming == nil || d.offer.Image.Digest != part.Digest || part.Offset != d.incoming.Received() {
		return
	}
	if c.downloadSucceeded(d.incoming.Write(part.Offset, part.Data)) {
		c.continueDownload()
	}
}

func (c *control) tickDownload(now time.Duration) {
	if c.download.incoming != nil && now >= c.download.requestedAt+partRetryInterval {
		c.continueDownload()
	}
}
