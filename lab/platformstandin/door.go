package platformstandin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// door is where an instance takes new connections. Those that it has are served on
// while the door is closed.
type door struct {
	address string
	mutex   sync.Mutex
	// listener is nil while the door is closed.
	listener *net.TCPListener
	// closed says that it was closed, and not opened since; forGood says that it does not open again.
	closed, forGood bool
}

// leave is a back end's word that it leaves.
type leave struct {
	once sync.Once
	sent chan struct{}
}

// Listen makes the instance take new connections, unless it does or has ended.
func (i *Instance) Listen() error {
	i.door.mutex.Lock()
	defer i.door.mutex.Unlock()
	i.door.closed = false
	return i.open()
}

// open begins to listen. The caller has the mutex.
func (i *Instance) open() error {
	if i.door.forGood || i.door.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", i.door.address)
	if err != nil {
		return err
	}
	i.door.listener = listener.(*net.TCPListener)
	// The server returns when the door closes.
	go func() { _ = i.server.Serve(&surplusListener{Listener: listener, draw: i.drawSurplus}) }()
	return nil
}

// CloseListener makes the instance refuse new connections, and serve on over those
// that it has.
func (i *Instance) CloseListener() { i.closeDoor(false) }

func (i *Instance) closeDoor(forGood bool) {
	i.door.mutex.Lock()
	defer i.door.mutex.Unlock()
	i.door.closed, i.door.forGood = true, i.door.forGood || forGood
	if i.door.listener != nil {
		endListening(i.door.listener)
		i.door.listener = nil
	}
}

// endListening closes a listener and frees its address at once. A process that is just being started
// has a copy of the descriptor until it runs its program, and Close alone leaves that copy listening.
func endListening(listener *net.TCPListener) {
	if raw, err := listener.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { _ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	}
	_ = listener.Close()
}

// listenLate begins to listen after the first heartbeat, unless the listener was closed
// meanwhile.
func (i *Instance) listenLate(ctx context.Context) {
	if pause.For(ctx, i.ListenLate) != nil {
		return
	}
	i.door.mutex.Lock()
	defer i.door.mutex.Unlock()
	if i.door.closed {
		return
	}
	if err := i.open(); err != nil {
		i.ledger.Broken("%s can't listen at %s: %v", i.ID, i.door.address, err)
	}
}

// AwaitSaid waits until the gateway was told that the instance leaves, for a time at
// the most.
func (i *Instance) AwaitSaid(ctx context.Context, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	select {
	case <-i.said.sent:
	case <-ctx.Done():
	}
}
