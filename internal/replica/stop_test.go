package replica

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"gotest.tools/v3/assert"
)

// stopPatience is when a Stop that has not returned counts as hanging.
const stopPatience = 20 * time.Second

// stopped returns what Stop returns, and fails where it hangs.
func stopped(t *testing.T, r *Replica) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- r.Stop() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(stopPatience):
		t.Error("Stop hangs")
		return nil
	}
}

// hangingDisk is a file system whose syncs do not return while it hangs.
type hangingDisk struct {
	vfs.FS
	mutex sync.Mutex
	// hung is closed once the disk hangs no more; nil where it does not.
	hung chan struct{}
	// caught takes a value when a sync begins to hang.
	caught chan struct{}
}

func (d *hangingDisk) hang() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.hung = make(chan struct{})
}

func (d *hangingDisk) letGo() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.hung)
	d.hung = nil
}

func (d *hangingDisk) wait() {
	d.mutex.Lock()
	hung := d.hung
	d.mutex.Unlock()
	if hung == nil {
		return
	}
	select {
	case d.caught <- struct{}{}:
	default:
	}
	<-hung
}

func (d *hangingDisk) Create(name string) (vfs.File, error) { return d.wrap(d.FS.Create(name)) }

func (d *hangingDisk) Open(name string) (vfs.File, error) { return d.wrap(d.FS.Open(name)) }

func (d *hangingDisk) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &hangingFile{file, d}, nil
}

type hangingFile struct {
	vfs.File
	disk *hangingDisk
}

func (f *hangingFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// A sync that does not return holds Stop up for a bounded time only, and what
// was asked for before is not acknowledged.
func TestStopReturnsThoughTheDiskHangs(t *testing.T) {
	disk := &hangingDisk{FS: vfs.NewMemory(1), caught: make(chan struct{}, 1)}
	config := testConfig(t, 1)
	config.FS, config.DataDir, config.Machine = disk, "data", &listMachine{}
	r, err := Start(config)
	assert.NilError(t, err)
	g := &testGroup{t: t, replicas: map[topology.ReplicaID]*Replica{1: r}}
	g.leader()
	disk.hang()
	proposed := make(chan error, 1)
	go func() {
		_, err := r.Propose(context.Background(), []byte("a"))
		proposed <- err
	}()
	<-disk.caught
	err = stopped(t, r)
	assert.Check(t, errors.Is(err, ErrStillWriting), "%v", err)
	assert.ErrorIs(t, <-proposed, ErrOutcomeUnknown)
	disk.letGo()
	r.ended.Wait()
}

// startWithPeer starts one of two founding members, whose connections to the
// other one are made by dial.
func startWithPeer(t *testing.T, dial func(context.Context, string, transport.Options) (*transport.Conn, error)) *Replica {
	t.Helper()
	config := testConfig(t, 1)
	config.Machine, config.dial = &listMachine{}, dial
	config.Peers = []Peer{{ID: 1, Address: config.Listener.Address()}, {ID: 2, Address: "peer:1"}}
	r, err := Start(config)
	assert.NilError(t, err)
	return r
}

// A dial that nobody answers, as to a machine that was cut off, ends with Stop.
func TestStopEndsADialThatNobodyAnswers(t *testing.T) {
	dialing, over := make(chan struct{}, 1), make(chan struct{})
	r := startWithPeer(t, func(ctx context.Context, _ string, _ transport.Options) (*transport.Conn, error) {
		select {
		case dialing <- struct{}{}:
		default:
		}
		// The dial's own timeout is taken for endless.
		cancelled := make(chan struct{})
		context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.Canceled) {
				close(cancelled)
			}
		})
		select {
		case <-cancelled:
			return nil, ctx.Err()
		case <-over:
			return nil, errors.New("the test is over")
		}
	})
	<-dialing
	assert.Check(t, stopped(t, r))
	close(over)
	r.ended.Wait()
}

// A peer that accepts a connection and never reads it, nor says anything, does
// not hold Stop up, though a send to it has no bound of its own.
func TestStopEndsASendThatNobodyReads(t *testing.T) {
	sending := make(chan struct{}, 1)
	var far []net.Conn
	var mutex sync.Mutex
	r := startWithPeer(t, func(context.Context, string, transport.Options) (*transport.Conn, error) {
		near, other := net.Pipe()
		mutex.Lock()
		far = append(far, other)
		mutex.Unlock()
		return transport.NewConn(&announcing{near, sending}, transport.Options{WriteTimeout: -1, IdleTimeout: -1}), nil
	})
	<-sending
	assert.Check(t, stopped(t, r))
	mutex.Lock()
	for _, conn := range far {
		_ = conn.Close()
	}
	mutex.Unlock()
	r.ended.Wait()
}

// announcing tells that a write begins.
type announcing struct {
	net.Conn
	writing chan struct{}
}

func (a *announcing) Write(p []byte) (int, error) {
	select {
	case a.writing <- struct{}{}:
	default:
	}
	return a.Conn.Write(p)
}
