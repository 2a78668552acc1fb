package transport

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// connect returns both ends of a connection over loopback.
func connect(t *testing.T, client, server Options) (near, far *Conn) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	near, err = Dial(context.Background(), listener.Address(), client)
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// rawPeer returns a connection whose other end is a plain stream, for frames
// that Send would never write.
func rawPeer(t *testing.T, options Options) (*Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	c := NewConn(near, options)
	t.Cleanup(func() { c.Close(); far.Close() })
	return c, far
}

// frames returns the bytes that Send writes for the messages.
func frames(t *testing.T, messages ...any) [][]byte {
	t.Helper()
	c, far := rawPeer(t, Options{})
	var all [][]byte
	for _, message := range messages {
		sent := make(chan error, 1)
		go func() { sent <- c.Send(message) }()
		var header [headerSize]byte
		_, err := io.ReadFull(far, header[:])
		assert.NilError(t, err)
		payload := make([]byte, binary.BigEndian.Uint32(header[:4]))
		_, err = io.ReadFull(far, payload)
		assert.NilError(t, err)
		assert.NilError(t, <-sent)
		all = append(all, append(header[:], payload...))
	}
	return all
}

func TestMessagesArriveInOrderAndAreCounted(t *testing.T) {
	near, far := connect(t, Options{}, Options{})
	const count = 100
	sent := make(chan error, 1)
	go func() {
		for i := range count {
			if err := near.Send(wire.ToController{Applied: &wire.Applied{Revision: topology.Revision(i)}}); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	for i := range count {
		var message wire.ToController
		assert.NilError(t, far.Receive(&message))
		assert.Equal(t, message.Applied.Revision, topology.Revision(i))
	}
	assert.NilError(t, <-sent)
	assert.Equal(t, near.BytesSent(), far.BytesReceived())
}

func TestConcurrentSendersDoNotMixFrames(t *testing.T) {
	near, far := connect(t, Options{}, Options{})
	const senders, each = 8, 50
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for range each {
				_ = near.Send(wire.ToController{Warmed: &wire.Warmed{Error: strings.Repeat("x", 300)}})
			}
		})
	}
	for range senders * each {
		var message wire.ToController
		assert.NilError(t, far.Receive(&message))
		assert.Equal(t, len(message.Warmed.Error), 300)
	}
	group.Wait()
}

func TestTypeDescriptorsAreSentOnce(t *testing.T) {
	message := wire.ToController{Applied: &wire.Applied{Revision: 7}}
	all := frames(t, message, message)
	assert.Assert(t, len(all[1]) < 24, "second frame has %d bytes", len(all[1]))
	assert.Assert(t, len(all[0]) > 10*len(all[1]))
}

func TestFlippedBitsAreDetected(t *testing.T) {
	frame := frames(t, wire.ToController{Applied: &wire.Applied{Revision: 7}})[0]
	for bit := 0; bit < len(frame)*8; bit += 3 {
		damaged := bytes.Clone(frame)
		damaged[bit/8] ^= 1 << (bit % 8)
		c, far := rawPeer(t, Options{MaxFrame: 1 << 16})
		go func() { _, _ = far.Write(damaged); far.Close() }()
		var message wire.ToController
		err := c.Receive(&message)
		assert.Assert(t, errors.Is(err, ErrDamaged) || errors.Is(err, ErrFrameTooLarge), "bit %d: %v", bit, err)
		assert.ErrorIs(t, c.Send(message), ErrClosed)
	}
}

func TestTruncatedFrameIsDamagedAndEndBetweenFramesIsEOF(t *testing.T) {
	frame := frames(t, wire.ToController{Applied: &wire.Applied{Revision: 7}})[0]
	for cut := range len(frame) {
		c, far := rawPeer(t, Options{})
		go func() { _, _ = far.Write(frame[:cut]); far.Close() }()
		var message wire.ToController
		err := c.Receive(&message)
		if cut == 0 {
			assert.Equal(t, err, io.EOF)
		} else {
			assert.ErrorIs(t, err, ErrDamaged)
		}
	}
}

func TestPayloadThatIsNotOneMessageIsDamaged(t *testing.T) {
	whole := frames(t, wire.ToController{Applied: &wire.Applied{Revision: 7}})[0]
	for name, payload := range map[string][]byte{
		"empty":        {},
		"noise":        []byte("GET / HTTP/1.1\r\n\r\n"),
		"two messages": append(bytes.Clone(whole[headerSize:]), whole[headerSize:]...),
	} {
		t.Run(name, func(t *testing.T) {
			frame := append(make([]byte, headerSize), payload...)
			putHeader(frame)
			c, far := rawPeer(t, Options{})
			go func() { _, _ = far.Write(frame); far.Close() }()
			var message wire.ToController
			assert.ErrorIs(t, c.Receive(&message), ErrDamaged)
		})
	}
}

func TestOversizedFrameIsRejectedAtBothEnds(t *testing.T) {
	large := wire.ToController{Warmed: &wire.Warmed{Error: strings.Repeat("x", 4096)}}
	near, _ := connect(t, Options{MaxFrame: 1024}, Options{})
	var tooLarge *FrameTooLargeError
	assert.Assert(t, errors.As(near.Send(large), &tooLarge))
	assert.Equal(t, tooLarge.Limit, 1024)
	assert.Equal(t, near.BytesSent(), uint64(0))

	near, far := connect(t, Options{}, Options{MaxFrame: 1024})
	assert.NilError(t, near.Send(large))
	var message wire.ToController
	assert.ErrorIs(t, far.Receive(&message), ErrFrameTooLarge)
}

func TestDeclaredLengthIsNotAllocatedBeforeBytesArrive(t *testing.T) {
	c, far := rawPeer(t, Options{})
	header := make([]byte, headerSize)
	binary.BigEndian.PutUint32(header, DefaultMaxFrame)
	go func() { _, _ = far.Write(header); far.Close() }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var message wire.ToController
	assert.ErrorIs(t, c.Receive(&message), ErrDamaged)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20)
}

func TestLargeMessageDoesNotRetainLargeBuffer(t *testing.T) {
	near, far := connect(t, Options{}, Options{})
	sent := make(chan error, 1)
	go func() { sent <- near.Send(wire.ToController{Warmed: &wire.Warmed{Error: strings.Repeat("x", 1<<20)}}) }()
	var message wire.ToController
	assert.NilError(t, far.Receive(&message))
	assert.NilError(t, <-sent)
	assert.Assert(t, near.outBuf.Cap() <= maxRetainedBuffer)
	assert.Assert(t, far.inBuf.Cap() <= maxRetainedBuffer)
}

func TestReceiveTimesOutOnSilentPeer(t *testing.T) {
	_, far := connect(t, Options{}, Options{IdleTimeout: time.Millisecond})
	var message wire.ToController
	assert.ErrorIs(t, far.Receive(&message), os.ErrDeadlineExceeded)
}

func TestSendTimesOutWhenPeerDoesNotRead(t *testing.T) {
	c, _ := rawPeer(t, Options{WriteTimeout: time.Millisecond})
	assert.ErrorIs(t, c.Send(wire.ToController{}), os.ErrDeadlineExceeded)
}

func TestCloseUnblocksReceive(t *testing.T) {
	near, _ := connect(t, Options{}, Options{})
	received := make(chan error, 1)
	go func() {
		var message wire.ToController
		received <- near.Receive(&message)
	}()
	assert.NilError(t, near.Close())
	assert.NilError(t, near.Close())
	assert.ErrorIs(t, <-received, ErrClosed)
}

func TestCloseUnblocksAccept(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", Options{})
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = listener.Accept()
	assert.ErrorIs(t, err, ErrClosed)
}

func TestTLSSendsMessagesAndRejectsUnknownServer(t *testing.T) {
	certificate, pool := selfSigned(t)
	server := Options{TLS: &tls.Config{Certificates: []tls.Certificate{certificate}}}
	listener, err := Listen("127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	received := make(chan error, 2)
	go func() {
		for range 2 {
			c, err := listener.Accept()
			if err != nil {
				received <- err
				return
			}
			var message wire.ToController
			received <- c.Receive(&message)
			_ = c.Close()
		}
	}()

	near, err := Dial(context.Background(), listener.Address(), Options{TLS: &tls.Config{RootCAs: pool}})
	assert.NilError(t, err)
	defer near.Close()
	assert.NilError(t, near.Send(wire.ToController{Applied: &wire.Applied{Revision: 1}}))
	assert.NilError(t, <-received)

	_, err = Dial(context.Background(), listener.Address(), Options{TLS: &tls.Config{}})
	var unknown x509.UnknownAuthorityError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Assert(t, <-received != nil)
}

// selfSigned returns a self-signed certificate for 127.0.0.1 and a pool that trusts
// it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true,

		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// discard is a net.Conn that discards all writes.
type discard struct{ net.Conn }

func (discard) Write(data []byte) (int, error)   { return len(data), nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }
func (discard) SetReadDeadline(time.Time) error  { return nil }
func (discard) Close() error                     { return nil }
func (discard) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
