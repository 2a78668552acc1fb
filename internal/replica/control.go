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
	// core is nil until the group is founded or has admitted this replica.
	core     *consensus.Core
	founding founding

	writing bool
	// low refuses proposals for want of space ahead, full holds entries back as
	// well; a probe is made at probeAt.
	low        bool
	full       bool
	probeAt    time.Duration
	snapshotAt time.Duration

	proposals map[uint64]proposal
	reads     map[uint64]func(any, error)
	nextRead  uint64
	// barriers wait until their index is applied.
	barriers  []barrier
	promoted  []promotion
	transfers []func(any, error)

	lastSnapshot uint64
	// appliedBytes counts the commands applied since the last snapshot began.
	appliedBytes int64
	// snapshotSize is that of the last snapshot.
	snapshotSize int64
	snapshotting bool
	// compactTo is the index of a snapshot whose log is to be removed.
	compactTo uint64
	fetching  fetching
}

type proposal struct {
	term uint64
	done func(any, error)
}

type barrier struct {
	index uint64
	done  func(any, error)
}

// diskFullRetry is how often a full disk is tried again.
const diskFullRetry = 500 * time.Millisecond

func (r *Replica) startControl(found loaded) error {
	r.control = control{
		r:         r,
		proposals: map[uint64]proposal{},
		reads:     map[uint64]func(any, error){},
	}
	c := &r.control
	if found.torn > 0 {
		r.config.Logger.Info("cut a torn write off the log", "bytes", found.torn)
	}
	if found.unproven && found.founded {
		r.config.Logger.Info("the disk may be an older copy; asking the other members before voting", "folder", r.config.DataDir)
	}
	if !found.founded {
		c.founding.unproven = found.unproven
		if err := c.founding.load(r); err != nil {
			return err
		}
		c.publish()
		return nil
	}
	return c.startCore(found)
}

func (c *control) startCore(found loaded) error {
	identity := c.r.files.folder.Identity()
	if found.snapshot.Meta.Index > 0 {
		if err := c.r.config.Machine.Restore(found.snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", found.snapshot.Meta.Index, err)
		}
	}
	core, err := consensus.New(consensus.Config{
		Group:             c.r.config.Group,
		ID:                identity.Replica,
		Incarnation:       identity.Incarnation,
		HardState:         found.hard,
		Snapshot:          found.snapshot.Meta,
		Entries:           found.entries,
		Now:               c.r.Now(),
		HeartbeatInterval: c.r.config.HeartbeatInterval,
		ElectionTimeout:   c.r.config.ElectionTimeout,
		Unproven:          found.unproven,
		Seed:              uint64(identity.Incarnation) ^ uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	c.core = core
	c.lastSnapshot = found.snapshot.Meta.Index
	c.snapshotSize = int64(len(found.snapshot.Data))
	c.publish()
	return nil
}

// runControl is the control goroutine.
func (r *Replica) runControl() {
	defer r.ended.Done()
	defer close(r.writes)
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopping:
			r.control.abandon()
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
		case result := <-r.written:
			r.control.finishWrite(result)
		}
		r.control.work()
	}
}

// drainInbox takes what else has come, so that its work is done together.
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
		c.founding.tick(now)
	} else {
		c.core.Tick(now)
		c.checkPromotions()
		c.probeDisk(now)
		c.tickFetching(now)
	}
	c.publish()
	c.r.config.OnTick(now, c.r.Status())
}

func (c *control) receive(received envelope) {
	c.r.peers.learn(received.From, received.Address)
	switch {
	case received.Founding != nil:
		c.founding.receive(received)
	case received.Message != nil:
		c.step(*received.Message)
	case received.Offer != nil:
		c.receiveOffer(*received.Offer, c.addressOf(received))
	case received.Want != nil:
		c.sendPart(*received.Want, c.addressOf(received))
	case received.Part != nil:
		c.receivePart(*received.Part)
	}
}

// addressOf is where the sender takes messages.
func (c *control) addressOf(received envelope) string {
	if c.core == nil {
		return received.Address
	}
	return c.r.peers.address(received.From, c.core.Membership())
}

func (c *control) step(m consensus.Message) {
	if c.core == nil && !c.founding.join(m) {
		return
	}
	err := c.core.Step(c.r.Now(), m)
	if errors.Is(err, consensus.ErrOlderCopy) {
		err = errors.Join(&storage.DamageError{File: c.r.config.DataDir, Reason: err.Error(), Advice: storage.AdviceReplace},
			c.r.files.folder.Condemn(err.Error()))
	}
	if err != nil {
		c.r.fail(err)
	}
}

// work does what the core asks for, until it waits for a write.
func (c *control) work() {
	if c.core == nil {
		return
	}
	c.core.HoldEntries(c.full)
	for !c.writing && c.core.HasReady() {
		ready := c.core.Ready()
		c.send(ready.Early)
		c.apply(ready)
		if ready.HardState == nil {
			c.finish(ready)
			continue
		}
		c.write(writeJob{ready: ready})
	}
	if c.writing {
		c.send(c.core.TakeEarly())
	}
	c.maybeCompact()
}

// apply runs the committed commands. They need no write of this replica.
func (c *control) apply(ready consensus.Ready) {
	for _, entry := range ready.Committed {
		c.appliedBytes += int64(len(entry.Data))
		var result any
		if entry.Kind == consensus.EntryCommand {
			result = c.r.config.Machine.Apply(topology.Revision(entry.Index), entry.Data)
		}
		c.resolve(entry, result)
	}
}

func (c *control) resolve(entry consensus.Entry, result any) {
	waiting, ok := c.proposals[entry.Index]
	if !ok {
		return
	}
	delete(c.proposals, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(nil, ErrNotCommitted)
		return
	}
	waiting.done(result, nil)
}

// finish ends a Ready whose facts are durable.
func (c *control) finish(ready consensus.Ready) {
	if ready.Snapshot != nil {
		c.restored(*ready.Snapshot)
	}
	c.send(ready.Messages)
	for _, read := range ready.Reads {
		c.finishRead(read)
	}
	c.core.Advance(ready)
	c.maybeSnapshot()
	c.releaseBarriers()
	if len(c.transfers) > 0 && c.core.Role() != consensus.Leader {
		for _, done := range c.transfers {
			done(nil, nil)
		}
		c.transfers = nil
	}
}

// restored replaces the state machine's state by an installed snapshot.
func (c *control) restored(snapshot consensus.Snapshot) {
	if err := c.r.config.Machine.Restore(snapshot.Data); err != nil {
		c.r.fail(fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err))
		return
	}
	c.lastSnapshot = snapshot.Meta.Index
	c.snapshotSize = int64(len(snapshot.Data))
	c.appliedBytes = 0
	for index, waiting := range c.proposals {
		if index <= snapshot.Meta.Index {
			delete(c.proposals, index)
			waiting.done(nil, ErrOutcomeUnknown)
		}
	}
}

func (c *control) finishRead(read consensus.ReadState) {
	done, ok := c.reads[read.Token]
	if !ok {
		return
	}
	delete(c.reads, read.Token)
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
	var waiting []barrier
	for _, b := range c.barriers {
		if b.index <= applied {
			b.done(nil, nil)
		} else {
			waiting = append(waiting, b)
		}
	}
	c.barriers = waiting
}

func (c *control) send(messages []consensus.Message) {
	for _, m := range messages {
		c.r.peers.send(m, c.core.Membership())
	}
}

// ProposeAsync replicates a command; done is called on the control goroutine,
// where ProposeAsync must be called as well.
func (r *Replica) ProposeAsync(command []byte, done func(result any, err error)) {
	c := &r.control
	if err := c.mayPropose(); err != nil {
		done(nil, err)
		return
	}
	index, term, err := c.core.Propose(command)
	if err != nil {
		done(nil, c.translate(err))
		return
	}
	c.proposals[index] = proposal{term, done}
}

func (c *control) mayPropose() error {
	switch {
	case c.core == nil:
		return ErrNotMember
	case c.low:
		return storage.ErrDiskFull
	}
	return nil
}

func (c *control) translate(err error) error {
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

func (c *control) read(done func(any, error)) {
	if c.core == nil {
		done(nil, ErrNotMember)
		return
	}
	c.nextRead++
	if err := c.core.ReadIndex(c.nextRead); err != nil {
		done(nil, c.translate(err))
		return
	}
	c.reads[c.nextRead] = done
}

func (c *control) transfer(target topology.ReplicaID, done func(any, error)) {
	if c.core == nil {
		done(nil, ErrNotMember)
		return
	}
	if err := c.core.TransferLeadership(target); err != nil {
		done(nil, c.translate(err))
		return
	}
	c.transfers = append(c.transfers, done)
}

func (c *control) publish() {
	if c.core != nil {
		status := c.core.Status()
		c.r.status.Store(&status)
		return
	}
	identity := c.r.files.folder.Identity()
	c.r.status.Store(&consensus.Status{ID: identity.Replica, Incarnation: identity.Incarnation})
}

// abandon ends the requests that wait.
func (c *control) abandon() {
	c.endFetching()
	for _, waiting := range c.proposals {
		waiting.done(nil, errors.Join(ErrOutcomeUnknown, ErrStopped))
	}
	for _, done := range c.reads {
		done(nil, ErrStopped)
	}
	for _, waiting := range c.barriers {
		waiting.done(nil, ErrStopped)
	}
	for _, waiting := range c.promoted {
		waiting.done(nil, ErrStopped)
	}
	for _, done := range c.transfers {
		done(nil, ErrStopped)
	}
}
