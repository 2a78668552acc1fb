package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// control is the state of the control goroutine.
type control struct {
	r *Replica
	// core is nil until the group is bootstrapped or this replica has joined it.
	core      *consensus.Core
	bootstrap bootstrap

	writeInFlight bool
	// lowSpace is set while there is no space for another log segment; proposals
	// are then rejected. diskFull is set if entries could not be written either;
	// the core then holds back entries. The disk is probed again at nextProbeAt.
	lowSpace       bool
	diskFull       bool
	nextProbeAt    time.Duration
	nextSnapshotAt time.Duration

	pendingProposals map[uint64]proposal
	pendingReads     map[uint64]func(any, error)
	nextReadToken    uint64
	// barriers are reads that wait until their index is applied.
	barriers         []barrier
	promotions       []promotion
	pendingTransfers []func(any, error)

	lastSnapshotIndex uint64
	// appliedBytes is the size of the commands applied since the last snapshot
	// was started.
	appliedBytes int64
	// snapshotSize is the size of the last snapshot.
	snapshotSize       int64
	snapshotInProgress bool
	// compactTo is the index of a saved snapshot up to which the log can be
	// removed, or zero.
	compactTo uint64
	download  snapshotDownload
}

type proposal struct {
	term uint64
	done func(any, error)
}

type barrier struct {
	index uint64
	done  func(any, error)
}

// diskFullRetryInterval is the interval at which a write to a full disk is retried.
const diskFullRetryInterval = 500 * time.Millisecond

func (r *Replica) startControl(recovered recoveredState) error {
	r.control = control{
		r:                r,
		pendingProposals: map[uint64]proposal{},
		pendingReads:     map[uint64]func(any, error){},
		bootstrap:        bootstrap{r: r},
	}
	c := &r.control
	if recovered.tornBytes > 0 {
		r.config.Logger.Info("truncated a torn write at the end of the log", "bytes", recovered.tornBytes)
	}
	if recovered.unverified && recovered.bootstrapped {
		r.config.Logger.Info("the disk may be an older copy; asking the other members before voting", "folder", r.config.DataDir)
	}
	if !recovered.bootstrapped {
		c.bootstrap.unverified = recovered.unverified
		if err := c.bootstrap.load(); err != nil {
			return err
		}
		c.publishStatus()
		return nil
	}
	return c.startCore(recovered)
}

func (c *control) startCore(recovered recoveredState) error {
	identity := c.r.files.folder.Identity()
	if recovered.snapshot.Meta.Index > 0 {
		if err := c.r.config.Machine.Restore(recovered.snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", recovered.snapshot.Meta.Index, err)
		}
	}
	core, err := consensus.New(consensus.Config{
		Group:             c.r.config.Group,
		ID:                identity.Replica,
		Incarnation:       identity.Incarnation,
		HardState:         recovered.hardState,
		Snapshot:          recovered.snapshot.Meta,
		Entries:           recovered.entries,
		Now:               c.r.Now(),
		HeartbeatInterval: c.r.config.HeartbeatInterval,
		ElectionTimeout:   c.r.config.ElectionTimeout,
		Unproven:          recovered.unverified,
		Seed:              uint64(identity.Incarnation) ^ uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	c.core = core
	c.lastSnapshotIndex = recovered.snapshot.Meta.Index
	c.snapshotSize = int64(len(recovered.snapshot.Data))
	c.publishStatus()
	return nil
}

// runControl is the control goroutine.
func (r *Replica) runControl() {
	defer r.goroutines.Done()
	defer close(r.writeJobs)
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopping:
			r.control.failPending()
			return
		case <-ticker.C:
			r.control.tick()
		case received := <-r.inbox:
			r.control.receive(received)
			r.control.drainInbox()
		case <-r.events.wake:
			for _, event := range r.events.take() {
				event()
			}
		case result := <-r.writeResults:
			r.control.completeWrite(result)
		}
		r.control.processReady()
	}
}

// drainInbox receives the messages that are already queued, so that they are
// processed in one batch.
func (c *control) drainInbox() {
	for range inboxSize {
		select {
		case received := <-c.r.inbox:
			c.receive(received)
		default:
			return
		}
	}
}

func (c *control) tick() {
	now := c.r.Now()
	if c.core == nil {
		c.bootstrap.tick(now)
	} else {
		c.core.Tick(now)
		c.completePromotions()
		c.probeDisk(now)
		c.tickDownload(now)
	}
	c.publishStatus()
	c.r.config.OnTick(now, c.r.Status())
}

func (c *control) receive(received envelope) {
	c.r.peers.learnAddress(received.From, received.Address)
	switch {
	case received.Founding != nil:
		c.bootstrap.receive(received)
	case received.Message != nil:
		c.step(*received.Message)
	case received.Offer != nil:
		c.receiveOffer(*received.Offer, c.senderAddress(received))
	case received.Want != nil:
		c.sendPart(*received.Want, c.senderAddress(received))
	case received.Part != nil:
		c.receivePart(*received.Part)
	}
}

// senderAddress returns the address at which the sender accepts connections.
func (c *control) senderAddress(received envelope) string {
	if c.core == nil {
		return received.Address
	}
	return c.r.peers.address(received.From, c.core.Membership())
}

func (c *control) step(m consensus.Message) {
	if c.core == nil && !c.bootstrap.joinGroup(m) {
		return
	}
	err := c.core.Step(c.r.Now(), m)
	if errors.Is(err, consensus.ErrOlderCopy) {
		err = errors.Join(&storage.DamageError{File: c.r.config.DataDir, Reason: err.Error(), Advice: storage.AdviceReplace},
			c.r.files.folder.MarkUnusable(err.Error()))
	}
	if err != nil {
		c.r.fail(err)
	}
}

// processReady handles the core's Ready until a write is in flight or nothing is
// left to do.
func (c *control) processReady() {
	if c.core == nil {
		return
	}
	c.core.HoldEntries(c.diskFull)
	for !c.writeInFlight && c.core.HasReady() {
		ready := c.core.Ready()
		c.send(ready.Early)
		c.apply(ready)
		if ready.HardState == nil {
			c.completeReady(ready)
			continue
		}
		c.startWrite(writeJob{ready: ready})
	}
	if c.writeInFlight {
		c.send(c.core.TakeEarly())
	}
	c.maybeCompact()
}

// apply applies the committed commands. It does not wait until they are durable
// on this replica, as a quorum already has them.
func (c *control) apply(ready consensus.Ready) {
	for _, entry := range ready.Committed {
		c.appliedBytes += int64(len(entry.Data))
		var result any
		if entry.Kind == consensus.EntryCommand {
			result = c.r.config.Machine.Apply(topology.Revision(entry.Index), entry.Data)
		}
		if entry.Kind == consensus.EntryMembership {
			c.publishStatus() // a Status read after the change returns shows it
		}
		c.resolveProposal(entry, result)
	}
}

func (c *control) resolveProposal(entry consensus.Entry, result any) {
	pending, ok := c.pendingProposals[entry.Index]
	if !ok {
		return
	}
	delete(c.pendingProposals, entry.Index)
	if pending.term != entry.Term {
		pending.done(nil, ErrNotCommitted)
		return
	}
	pending.done(result, nil)
}

// completeReady completes a Ready whose data is durable: it sends the messages
// and completes the reads and the leadership transfers that waited for it.
func (c *control) completeReady(ready consensus.Ready) {
	if ready.Snapshot != nil {
		c.restoreSnapshot(*ready.Snapshot)
	}
	c.send(ready.Messages)
	for _, read := range ready.Reads {
		c.completeRead(read)
	}
	c.core.Advance(ready)
	c.maybeSnapshot()
	c.releaseBarriers()
	if len(c.pendingTransfers) > 0 && c.core.Role() != consensus.Leader {
		for _, done := range c.pendingTransfers {
			done(nil, nil)
		}
		c.pendingTransfers = nil
	}
}

// restoreSnapshot replaces the state of the state machine with an installed
// snapshot. Proposals that the snapshot covers end with an unknown outcome.
func (c *control) restoreSnapshot(snapshot consensus.Snapshot) {
	if err := c.r.config.Machine.Restore(snapshot.Data); err != nil {
		c.r.fail(fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err))
		return
	}
	c.lastSnapshotIndex = snapshot.Meta.Index
	c.snapshotSize = int64(len(snapshot.Data))
	c.appliedBytes = 0
	for index, pending := range c.pendingProposals {
		if index <= snapshot.Meta.Index {
			delete(c.pendingProposals, index)
			pending.done(nil, ErrOutcomeUnknown)
		}
	}
}

func (c *control) completeRead(read consensus.ReadState) {
	done, ok := c.pendingReads[read.Token]
	if !ok {
		return
	}
	delete(c.pendingReads, read.Token)
	if read.Failed {
		done(nil, c.notLeader())
		return
	}
	c.barriers = append(c.barriers, barrier{read.Index, done})
}

func (c *control) releaseBarriers() {
	if len(c.barriers) == 0 {
		return
	}
	applied := c.core.Status().Applied
	var pending []barrier
	for _, b := range c.barriers {
		if b.index <= applied {
			b.done(nil, nil)
		} else {
			pending = append(pending, b)
		}
	}
	c.barriers = pending
}

func (c *control) send(messages []consensus.Message) {
	for _, m := range messages {
		c.r.peers.send(m, c.core.Membership())
	}
}

// ProposeAsync replicates a command. It must be called on the control goroutine,
// and calls done there.
func (r *Replica) ProposeAsync(command []byte, done func(result any, err error)) {
	c := &r.control
	if err := c.checkCanPropose(); err != nil {
		done(nil, err)
		return
	}
	index, term, err := c.core.Propose(command)
	if err != nil {
		done(nil, c.translateError(err))
		return
	}
	c.pendingProposals[index] = proposal{term, done}
}

func (c *control) checkCanPropose() error {
	switch {
	case c.core == nil:
		return ErrNotMember
	case c.lowSpace:
		return storage.ErrDiskFull
	}
	return nil
}

func (c *control) translateError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return c.notLeader()
	}
	return err
}

func (c *control) notLeader() error {
	status := c.core.Status()
	member, _ := status.Membership.Find(status.Leader)
	return &NotLeaderError{Leader: status.Leader, LeaderAddress: member.Address}
}

func (c *control) readBarrier(done func(any, error)) {
	if c.core == nil {
		done(nil, ErrNotMember)
		return
	}
	c.nextReadToken++
	if err := c.core.ReadIndex(c.nextReadToken); err != nil {
		done(nil, c.translateError(err))
		return
	}
	c.pendingReads[c.nextReadToken] = done
}

func (c *control) transferLeadership(target topology.ReplicaID, done func(any, error)) {
	if c.core == nil {
		done(nil, ErrNotMember)
		return
	}
	if err := c.core.TransferLeadership(target); err != nil {
		done(nil, c.translateError(err))
		return
	}
	c.pendingTransfers = append(c.pendingTransfers, done)
}

func (c *control) publishStatus() {
	if c.core != nil {
		status := c.core.Status()
		c.r.status.Store(&status)
		return
	}
	identity := c.r.files.folder.Identity()
	c.r.status.Store(&consensus.Status{ID: identity.Replica, Incarnation: identity.Incarnation})
}

// failPending ends all pending requests with an error.
func (c *control) failPending() {
	c.abortDownload()
	for _, pending := range c.pendingProposals {
		pending.done(nil, errors.Join(ErrOutcomeUnknown, ErrStopped))
	}
	for _, done := range c.pendingReads {
		done(nil, ErrStopped)
	}
	for _, pending := range c.barriers {
		pending.done(nil, ErrStopped)
	}
	for _, pending := range c.promotions {
		pending.done(nil, ErrStopped)
	}
	for _, done := range c.pendingTransfers {
		done(nil, ErrStopped)
	}
}
