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

// stopTimeout is the time after which a Stop that has not returned counts as
// hanging.
const stopTimeout = 20 * time.Second

// stopWithTimeout returns the error of Stop, and fails the test if Stop hangs.
func stopWithTimeout(t *testing.T, r *Replica) error {
	t.Helper()
	finished := make(chan error, 1)
	go func() { finished <- r.Stop() }()
	select {
	case err := <-finished:
		return err
	case <-time.After(stopTimeout):
		t.Error("Stop hangs")
		return nil
	}
}

// hangingDisk is a file system whose syncs can be made to block.
type hangingDisk struct {
	vfs.FS
	mutex sync.Mutex
	// resumed is closed when the disk stops hanging. It is nil if the disk does
	// not hang.
	resumed chan struct{}
	// syncBlocked receives a value when a sync starts to block.
	syncBlocked chan struct{}
}

func (d *hangingDisk) hang() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.resumed = make(chan struct{})
}

func (d *hangingDisk) resume() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.resumed)
	d.resumed = nil
}

func (d *hangingDisk) waitWhileHung() {
	d.mutex.Lock()
	resumed := d.resumed
	d.mutex.Unlock()
	if resumed == nil {
		return
	}
	select {
	case d.syncBlocked <- struct{}{}:
	default:
	}
	<-resumed
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
	f.disk.waitWhileHung()
	return f.File.Sync()
}

// A sync that does not return delays Stop only for a limited time, and a command
// that was proposed before is not acknowledged.
func TestStopReturnsWhileDiskHangs(t *testing.T) {
	disk := &hangingDisk{FS: vfs.NewMemory(1), syncBlocked: make(chan struct{}, 1)}
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
	<-disk.syncBlocked
	err = stopWithTimeout(t, r)
	assert.Check(t, errors.Is(err, ErrStillWriting), "%v", err)
	assert.ErrorIs(t, <-proposed, ErrOutcomeUnknown)
	disk.resume()
	r.goroutines.Wait()
}

// startWithPeer starts one of two initial members, which connects to the other
// one with dial.
func startWithPeer(t *testing.T, dial func(context.Context, string, transport.Options) (*transport.Conn, error)) *Replica {
	t.Helper()
	config := testConfig(t, 1)
	config.Machine, config.dial = &listMachine{}, dial
	config.Peers = []Peer{{ID: 1, Address: config.Listener.Address()}, {ID: 2, Address: "peer:1"}}
	r, err := Start(config)
	assert.NilError(t, err)
	return r
}

// Stop cancels a dial that gets no response, as to a machine that is cut off from the network.
func TestStopCancelsPendingDial(t *testing.T) {
	dialing, testDone := make(chan struct{}, 1), make(chan struct{})
	r := startWithPeer(t, func(ctx context.Context, _ string, _ transport.Options) (*transport.Conn, error) {
		select {
		case dialing <- struct{}{}:
		default:
		}
		// Treat the dial's own timeout as infinite, so that only a cancellation
		// ends it.
		cancelled := make(chan struct{})
		context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.Canceled) {
				close(cancelled)
			}
		})
		select {
		case <-cancelled:
			return nil, ctx.Err()
		case <-testDone:
			return nil, errors.New("the test is over")
		}
	})
	<-dialing
	assert.Check(t, stopWithTimeout(t, r))
	close(testDone)
	r.goroutines.Wait()
}

// A peer that accepts a connection but never reads or sends anything does not
// block Stop, although sends to it have no timeout.
func TestStopInterruptsBlockedSend(t *testing.T) {
	sending := make(chan struct{}, 1)
	var remoteEnds []net.Conn
	var mutex sync.Mutex
	r := startWithPeer(t, func(context.Context, string, transport.Options) (*transport.Conn, error) {
		local, remote := net.Pipe()
		mutex.Lock()
		remoteEnds = append(remoteEnds, remote)
		mutex.Unlock()
		return transport.NewConn(&notifyingConn{local, sending}, transport.Options{WriteTimeout: -1, IdleTimeout: -1}), nil
	})
	<-sending
	assert.Check(t, stopWithTimeout(t, r))
	mutex.Lock()
	for _, conn := range remoteEnds {
		_ = conn.Close()
	}
	mutex.Unlock()
	r.goroutines.Wait()
}

// notifyingConn sends a value on a channel when a write starts.
type notifyingConn struct {
	net.Conn
	writing chan struct{}
}

func (a *notifyingConn) Write(p []byte) (int, error) {
	select {
	case a.writing <- struct{}{}:
	default:
	}
	return a.Conn.Write(p)
}
