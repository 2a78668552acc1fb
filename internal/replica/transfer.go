package replica

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/snap"
)

// A snapshot is fetched by its receiver: the leader offers it, the receiver
// asks for one part after the other and checks the digest of the whole. After
// a loss of the connection, a restart of either side or a change of leader it
// goes on where it was, as long as the same snapshot is offered.

// snapshotOffer stands for a MessageSnapshot, without its data.
type snapshotOffer struct {
	Message consensus.Message
	Image   snap.Image
}

// snapshotWant asks for the part at an offset.
type snapshotWant struct {
	Digest snap.Digest
	Offset int64
}

// snapshotPart answers it.
type snapshotPart struct {
	Digest snap.Digest
	Offset int64
	Data   []byte
}

const (
	partBytes = 256 << 10
	// wantRetry is after how long without a part it is asked for again.
	wantRetry = time.Second
)

// fetching is the receiver's side of a transfer.
type fetching struct {
	incoming *snap.Incoming
	offer    snapshotOffer
	// address of the sender.
	address string
	askedAt time.Duration
}

// offerSnapshot sends the newest snapshot's image in place of its data.
func (c *control) offerSnapshot(m consensus.Message, address string) {
	image, ok, err := c.r.files.snaps.Newest()
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
	f := &c.fetching
	known := f.incoming != nil && f.incoming.Image() == offer.Image
	f.offer = offer
	if known && f.address == address && c.r.Now() < f.askedAt+wantRetry {
		return
	}
	f.address = address
	if !known {
		c.endFetching()
		incoming, err := c.r.files.snaps.Receive(offer.Image)
		if !c.fetchedOrFull(err) {
			return
		}
		f.incoming, f.offer, f.address = incoming, offer, address
	}
	c.fetch()
}

// fetchedOrFull reports success; a full disk ends the transfer until the next
// offer, any other error the replica.
func (c *control) fetchedOrFull(err error) bool {
	switch {
	case err == nil:
		return true
	case !errors.Is(err, storage.ErrDiskFull):
		c.r.fail(err)
	}
	c.endFetching()
	return false
}

// fetch asks for the next part, or takes the whole in.
func (c *control) fetch() {
	f := &c.fetching
	if !f.incoming.Whole() {
		f.askedAt = c.r.Now()
		c.r.peers.sendTo(f.address, envelope{Want: &snapshotWant{f.offer.Image.Digest, f.incoming.Have()}})
		return
	}
	snapshot, err := f.incoming.Finish()
	offer := f.offer
	c.fetching = fetching{}
	if err != nil {
		c.r.config.Logger.Warn("a received snapshot is damaged; it is fetched anew", "error", err)
		return
	}
	offer.Message.Snapshot = &snapshot
	c.step(offer.Message)
}

func (c *control) endFetching() {
	if c.fetching.incoming != nil {
		_ = c.fetching.incoming.Close()
	}
	c.fetching = fetching{}
}

func (c *control) sendPart(want snapshotWant, address string) {
	data, err := c.r.files.snaps.ReadPart(want.Digest, want.Offset, partBytes)
	if err != nil {
		c.r.fail(err)
		return
	}
	if len(data) > 0 {
		c.r.peers.sendTo(address, envelope{Part: &snapshotPart{want.Digest, want.Offset, data}})
	}
}

func (c *control) receivePart(part snapshotPart) {
	f := &c.fetching
	if f.incoming == nil || f.offer.Image.Digest != part.Digest || part.Offset != f.incoming.Have() {
		return
	}
	if c.fetchedOrFull(f.incoming.Write(part.Offset, part.Data)) {
		c.fetch()
	}
}

func (c *control) tickFetching(now time.Duration) {
	if c.fetching.incoming != nil && now >= c.fetching.askedAt+wantRetry {
		c.fetch()
	}
}
