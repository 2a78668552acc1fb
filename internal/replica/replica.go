package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// Replica is a running member of a group.
type Replica struct {
	config      Config
	started     time.Time
	incarnation topology.Incarnation
	files       *files
	status      atomic.Pointer[consensus.Status]
	// diskFull is set while proposals are rejected for lack of disk space.
	diskFull     atomic.Bool
	events       eventQueue
	inbox        chan envelope
	writeResults chan writeResult
	writeJobs    chan writeJob
	peers        *peerSet
	control      control

	stopping chan struct{}
	// dialContext is the context of all dials. cancelDials cancels it when the
	// replica is stopped.
	dialContext context.Context
	cancelDials context.CancelFunc
	stopOnce    sync.Once
	goroutines  sync.WaitGroup
	failOnce    sync.Once
	failure     atomic.Pointer[error]
}

// inboxSize bounds the messages that are received but not yet processed.
const inboxSize = 256

// Start opens the data folder and runs the replica. If the folder is damaged, it
// returns a *storage.DamageError.
func Start(config Config) (*Replica, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	files, found, err := openFiles(config)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	listener, err := listen(config)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("replica: %w", err), files.close())
	}
	r := &Replica{
		config:       config,
		started:      steady.Reading(),
		incarnation:  files.folder.Identity().Incarnation,
		files:        files,
		inbox:        make(chan envelope, inboxSize),
		writeResults: make(chan writeResult, 1),
		writeJobs:    make(chan writeJob, 1),
		stopping:     make(chan struct{}),
		events:       eventQueue{wake: make(chan struct{}, 1)},
	}
	r.dialContext, r.cancelDials = context.WithCancel(context.Background())
	r.peers = newPeerSet(r, listener)
	if err := r.startControl(found); err != nil {
		r.cancelDials()
		return nil, errors.Join(fmt.Errorf("replica: %w", err), listener.Close(), files.close())
	}
	r.goroutines.Add(3)
	go r.runWriter()
	go r.peers.acceptLoop()
	go r.runControl()
	return r, nil
}

func listen(config Config) (*transport.Listener, error) {
	if config.Listener != nil {
		return config.Listener, nil
	}
	return transport.Listen(config.Listen, peerOptions(config))
}

// Now returns the time of the replica's monotonic clock, which OnTick and Status
// use too.
func (r *Replica) Now() time.Duration { return steady.Elapsed(r.started) }

// Status returns the last published status. It is at most one tick old, unless
// the process was paused. Its Membership is empty until the group is
// bootstrapped.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// IsLeader reports whether the replica may act as the leader now.
func (r *Replica) IsLeader() bool { return r.Status().IsLeader(r.Now()) }

// DiskFull reports whether proposals are rejected for lack of disk space.
func (r *Replica) DiskFull() bool { return r.diskFull.Load() }

// Incarnation returns the incarnation of the data folder.
func (r *Replica) Incarnation() topology.Incarnation { return r.incarnation }

// BytesSent returns the number of bytes written to other members, including
// framing.
func (r *Replica) BytesSent() uint64 { return r.peers.bytesSent.Load() }

// Address returns the address on which connections of peers are accepted.
func (r *Replica) Address() string { return r.peers.listener.Address() }

// Post queues a function to run on the control goroutine. It never blocks, and
// may be called on the control goroutine itself.
func (r *Replica) Post(event func()) { r.events.push(event) }

// Log is the state of a replica's log at one moment.
type Log struct {
	// LastIndex and LastTerm identify the last entry, and so all entries before
	// it.
	LastIndex, LastTerm uint64
	// Unapplied are the entries that the state machine has not applied yet.
	Unapplied []consensus.Entry
	// Membership is the latest membership in the log, committed or not.
	Membership consensus.Membership
}

// Log returns the state of the log. It returns false if the log may lack entries
// that this replica has acknowledged, or if the replica is not a voter. It must
// be called on the control goroutine, for example in Post.
func (r *Replica) Log() (Log, bool) {
	core := r.control.core
	if core == nil {
		return Log{}, false
	}
	unapplied, whole := core.Unapplied()
	status := core.Status()
	if !whole || !status.Membership.HasIncarnation(status.ID, status.Incarnation) || !status.Membership.IsVoter(status.ID) {
		return Log{}, false
	}
	return Log{LastIndex: status.LastIndex, LastTerm: core.LastTerm(), Unapplied: unapplied, Membership: status.Membership}, true
}

// requestResult is the result of a request to the control goroutine.
type requestResult struct {
	result any
	err    error
}

// Propose replicates a command and returns the result of Apply. After a
// *NotLeaderError, storage.ErrDiskFull, consensus.ErrTooMuchInFlight,
// ErrNotMember, ErrStopped or ErrNotCommitted the command has no effect. After
// ErrOutcomeUnknown, alone or joined with another error, it may still take effect.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	return r.await(ctx, ErrOutcomeUnknown, func(done func(any, error)) {
		r.ProposeAsync(command, done)
	})
}

// ReadBarrier returns once the state machine has applied everything that was
// committed before the call. A read on the control goroutine is then
// linearizable.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.await(ctx, nil, r.control.readBarrier)
	return err
}

// ChangeMembership proposes a membership change and returns it once it is
// committed; the ID of a new member is filled in. Promote waits until the
// learner has caught up, and returns once everything in the log at the time of
// the promotion, including the promotion itself, is durable on the new voter. A
// second machine may then be lost. Promoting a member that is already a voter
// waits for the same condition.
func (r *Replica) ChangeMembership(ctx context.Context, change consensus.Change) (consensus.Change, error) {
	result, err := r.await(ctx, ErrOutcomeUnknown, func(done func(any, error)) {
		r.control.changeMembership(ctx, change, done)
	})
	if err != nil {
		return change, err
	}
	return result.(consensus.Change), nil
}

// TransferLeadership asks another voter to take over and returns once this
// replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context, target topology.ReplicaID) error {
	_, err := r.await(ctx, nil, func(done func(any, error)) {
		r.control.transferLeadership(target, done)
	})
	return err
}

// await runs a request on the control goroutine and waits for its result. If the
// context ends or the replica stops first, the error is joined with onTimeout.
func (r *Replica) await(ctx context.Context, onTimeout error, request func(done func(any, error))) (any, error) {
	completed := make(chan requestResult, 1)
	r.Post(func() {
		request(func(result any, err error) { completed <- requestResult{result, err} })
	})
	select {
	case result := <-completed:
		return result.result, result.err
	case <-ctx.Done():
		return nil, errors.Join(onTimeout, ctx.Err())
	case <-r.stopping:
		return nil, errors.Join(onTimeout, ErrStopped)
	}
}

// StopLimit is the maximum time that Stop waits for a write to the disk. It is
// many times longer than a sync on a slow disk, and a quarter of the 6 s that the
// users' platform allows a process for its shutdown.
const StopLimit = 1500 * time.Millisecond

// Stop stops the replica and closes the data folder. A leader should call
// TransferLeadership first. If a write to the disk does not complete within
// StopLimit, Stop returns ErrStillWriting. It is still safe to end the process
// then, because nothing is acknowledged before it is durable.
func (r *Replica) Stop() error {
	r.signalStop()
	closeErr := r.peers.close()
	closed := make(chan error, 1)
	go func() {
		r.goroutines.Wait()
		closed <- r.files.close()
	}()
	limit := time.NewTimer(StopLimit)
	defer limit.Stop()
	var filesErr error
	select {
	case filesErr = <-closed:
	case <-limit.C:
		filesErr = ErrStillWriting
	}
	if failure := r.failure.Load(); failure != nil {
		return errors.Join(*failure, filesErr)
	}
	return errors.Join(closeErr, filesErr)
}

// signalStop makes all goroutines return.
func (r *Replica) signalStop() {
	r.stopOnce.Do(func() {
		close(r.stopping)
		r.cancelDials()
	})
}

// fail stops the replica after a fatal error.
func (r *Replica) fail(err error) {
	r.failOnce.Do(func() {
		r.failure.Store(&err)
		r.signalStop()
		r.config.OnFailure(err)
	})
}

// eventQueue passes functions to the control goroutine. It is unbounded, so that
// push never blocks.
type eventQueue struct {
	mu     sync.Mutex
	events []func()
	wake   chan struct{}
}

func (q *eventQueue) push(event func()) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *eventQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
