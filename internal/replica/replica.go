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
	full        atomic.Bool
	events      eventQueue
	inbox       chan envelope
	written     chan writeResult
	writes      chan writeJob
	peers       *peerSet
	control     control

	stopping chan struct{}
	// dialing ends when the replica is stopped; cancelDials ends it.
	dialing     context.Context
	cancelDials context.CancelFunc
	stopOnce    sync.Once
	ended       sync.WaitGroup
	failOnce    sync.Once
	failure     atomic.Pointer[error]
}

// inboxSize bounds the messages received and not yet taken in.
const inboxSize = 256

// Start opens the data folder and runs the replica. Errors are
// *storage.DamageError where the folder is damaged.
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
		config:      config,
		started:     steady.Reading(),
		incarnation: files.folder.Identity().Incarnation,
		files:       files,
		inbox:       make(chan envelope, inboxSize),
		written:     make(chan writeResult, 1),
		writes:      make(chan writeJob, 1),
		stopping:    make(chan struct{}),
		events:      eventQueue{wake: make(chan struct{}, 1)},
	}
	r.dialing, r.cancelDials = context.WithCancel(context.Background())
	r.peers = newPeerSet(r, listener)
	if err := r.startControl(found); err != nil {
		r.cancelDials()
		return nil, errors.Join(fmt.Errorf("replica: %w", err), listener.Close(), files.close())
	}
	r.ended.Add(3)
	go r.runWriter()
	go r.peers.accept()
	go r.runControl()
	return r, nil
}

func listen(config Config) (*transport.Listener, error) {
	if config.Listener != nil {
		return config.Listener, nil
	}
	return transport.Listen(config.Listen, peerOptions(config))
}

// Now is the replica's monotonic clock, that of OnTick and Status.
func (r *Replica) Now() time.Duration { return steady.Elapsed(r.started) }

// Status returns the state as last published; at most a tick old, unless the
// process was paused. Before the group is founded its Membership is empty.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// IsLeader reports whether the replica may act as the leader now.
func (r *Replica) IsLeader() bool { return r.Status().IsLeader(r.Now()) }

// DiskFull reports whether proposals are refused for want of disk space.
func (r *Replica) DiskFull() bool { return r.full.Load() }

// Incarnation is that of the data folder.
func (r *Replica) Incarnation() topology.Incarnation { return r.incarnation }

// BytesSent counts the bytes written to other members, frames included.
func (r *Replica) BytesSent() uint64 { return r.peers.sent.Load() }

// Address is where connections of peers are accepted.
func (r *Replica) Address() string { return r.peers.listener.Address() }

// Post runs a function on the control goroutine. It never blocks, and may be
// called there as well.
func (r *Replica) Post(event func()) { r.events.push(event) }

// Log is what a replica has at one moment.
type Log struct {
	// LastIndex and LastTerm name its last entry, and with it all entries.
	LastIndex, LastTerm uint64
	// Unapplied are the entries after those that the state machine has.
	Unapplied []consensus.Entry
	// Membership is the newest one in the log, committed or not.
	Membership consensus.Membership
}

// Log returns what is in the log, false where it may lack what this replica has
// acknowledged or where it has no vote. It is called on the control goroutine, as by Post.
func (r *Replica) Log() (Log, bool) {
	core := r.control.core
	if core == nil {
		return Log{}, false
	}
	unapplied, whole := core.Unapplied()
	status := core.Status()
	if !whole || !status.Membership.Names(status.ID, status.Incarnation) || !status.Membership.IsVoter(status.ID) {
		return Log{}, false
	}
	return Log{LastIndex: status.LastIndex, LastTerm: core.LastTerm(), Unapplied: unapplied, Membership: status.Membership}, true
}

// outcome is the end of a request.
type outcome struct {
	result any
	err    error
}

// Propose replicates a command and returns the result of Apply. Errors are
// *NotLeaderError, storage.ErrDiskFull, consensus.ErrTooMuchInFlight,
// ErrNotMember, ErrStopped and ErrNotCommitted, after all of which the command
// has no effect, and ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	return r.await(ctx, ErrOutcomeUnknown, func(done func(any, error)) {
		r.ProposeAsync(command, done)
	})
}

// ReadBarrier returns once the state machine holds all that was committed
// before the call, so that a read on the control goroutine is linearizable.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.await(ctx, nil, r.control.read)
	return err
}

// ChangeMembership proposes a change and returns it, with the ID that was
// given, once it is committed. Promote waits until the learner has caught up,
// and returns once the new voter durably holds everything that was committed
// when it became one, the promotion included: a second machine may then be
// lost. Asked for a voter, it waits for the same.
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
		r.control.transfer(target, done)
	})
	return err
}

// await runs a request on the control goroutine and waits for its end. If the
// context ends first, the error joins the context's with onTimeout.
func (r *Replica) await(ctx context.Context, onTimeout error, request func(done func(any, error))) (any, error) {
	ended := make(chan outcome, 1)
	r.Post(func() {
		request(func(result any, err error) { ended <- outcome{result, err} })
	})
	select {
	case end := <-ended:
		return end.result, end.err
	case <-ctx.Done():
		return nil, errors.Join(onTimeout, ctx.Err())
	case <-r.stopping:
		return nil, errors.Join(onTimeout, ErrStopped)
	}
}

// StopLimit bounds Stop where the disk does not take a write. It is many times
// what a sync takes on a slow disk, and a quarter of the 6 s that the users'
// platform gives a process to end.
const StopLimit = 1500 * time.Millisecond

// Stop ends the replica and closes the data folder. A leader should call
// TransferLeadership before. Where the disk does not take a write within
// StopLimit, it returns ErrStillWriting; the process may then end all the same,
// as nothing is acknowledged that is not durable.
func (r *Replica) Stop() error {
	r.signalStop()
	closeErr := r.peers.close()
	closed := make(chan error, 1)
	go func() {
		r.ended.Wait()
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

// signalStop tells all goroutines to end.
func (r *Replica) signalStop() {
	r.stopOnce.Do(func() {
		close(r.stopping)
		r.cancelDials()
	})
}

// fail ends the replica after an error that it must not go on from.
func (r *Replica) fail(err error) {
	r.failOnce.Do(func() {
		r.failure.Store(&err)
		r.signalStop()
		r.config.OnFailure(err)
	})
}

// eventQueue hands functions to the control goroutine without blocking.
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
