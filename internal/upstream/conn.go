package upstream

import (
	"bufio"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	bufferSize = 8 << 10
	// maxHeaderBytes bounds a response's header.
	maxHeaderBytes = 64 << 10
)

// readers and writers pool the buffers, which only connections in use hold.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn is one connection, used by one request at a time.
type conn struct {
	net net.Conn
	// reader and writer are nil between releaseBuffers and acquireBuffers.
	reader    *bufio.Reader
	writer    *bufio.Writer
	netReader limitedReader
	netWriter countingWriter
	idleSince time.Time
	// wasIdle is set if the connection was idle before its present request, and
	// not dialled for it or passed on directly by the request before.
	wasIdle bool

	// raw, peek and nothingToRead are used by healthy. rawConnFailed is set if
	// there is no raw because SyscallConn failed.
	raw           syscall.RawConn
	peek          func(file uintptr) bool
	nothingToRead bool
	rawConnFailed bool

	mutex sync.Mutex
	// awaitingClose is set when awaitPeerClose has begun. From then on interrupt
	// doesn't change the deadlines.
	awaitingClose bool
}

func newConn(netConn net.Conn) *conn {
	connection := &conn{net: netConn}
	connection.netReader = limitedReader{net: netConn, remaining: math.MaxInt64}
	connection.netWriter = countingWriter{net: netConn}
	connection.initPeek()
	return connection
}

// acquireBuffers takes buffers for a request, unless the connection has them.
func (connection *conn) acquireBuffers() {
	if connection.reader != nil {
		return
	}
	connection.reader = readers.Get().(*bufio.Reader)
	connection.reader.Reset(&connection.netReader)
	connection.writer = writers.Get().(*bufio.Writer)
	connection.writer.Reset(&connection.netWriter)
}

// releaseBuffers gives the buffers back. They must be empty and not in use.
func (connection *conn) releaseBuffers() {
	if connection.reader == nil {
		return
	}
	connection.reader.Reset(nil)
	readers.Put(connection.reader)
	connection.writer.Reset(nil)
	writers.Put(connection.writer)
	connection.reader, connection.writer = nil, nil
}

func (connection *conn) close() { _ = connection.net.Close() }

// expiredDeadline is a deadline in the past, which ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// interrupt ends reads and writes in progress, and later ones until
// awaitPeerClose.
func (connection *conn) interrupt() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.awaitingClose {
		_ = connection.net.SetDeadline(expiredDeadline)
	}
}

// halfCloser is a connection that can be closed for writing and still be read.
type halfCloser interface{ CloseWrite() error }

// awaitPeerClose closes the connection for writing, which a server takes as a
// sign that the client is gone, and returns when the peer closes it too, or
// after the limit. What the peer still sends is discarded.
func (connection *conn) awaitPeerClose(limit time.Duration) {
	half, ok := connection.net.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	connection.mutex.Lock()
	connection.awaitingClose = true
	_ = connection.net.SetWriteDeadline(expiredDeadline)
	_ = connection.net.SetReadDeadline(time.Now().Add(limit))
	connection.mutex.Unlock()
	_, _ = io.Copy(io.Discard, connection.net)
}

// healthy reports whether an idle connection is open and has nothing to read.
// Unsolicited bytes would be taken for the response to the next request. The
// check costs one system call and can't detect a close that is still in transit;
// a request on such a connection ends with ErrInterrupted and is never written a
// second time.
func (connection *conn) healthy() bool {
	if connection.raw == nil {
		return !connection.rawConnFailed
	}
	connection.nothingToRead = false
	return connection.raw.Read(connection.peek) == nil && connection.nothingToRead
}

// initPeek prepares raw and peek, once for all calls of healthy. Connections
// without a file descriptor, as with TLS, always count as healthy.
func (connection *conn) initPeek() {
	syscallConn, ok := connection.net.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		connection.rawConnFailed = true
		return
	}
	var peeked [1]byte
	connection.raw = raw
	connection.peek = func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		connection.nothingToRead = err == syscall.EAGAIN
		return true
	}
}

// limitedReader reads from the connection at most the remaining bytes, which
// bounds the size of a response's header.
type limitedReader struct {
	net       net.Conn
	remaining int64
}

func (source *limitedReader) Read(buffer []byte) (int, error) {
	if source.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(buffer)) > source.remaining {
		buffer = buffer[:source.remaining]
	}
	count, err := source.net.Read(buffer)
	source.remaining -= int64(count)
	return count, err
}

// countingWriter counts the bytes that were handed to the operating system since
// sent was reset.
type countingWriter struct {
	net  net.Conn
	sent int64
}

func (sink *countingWriter) Write(buffer []byte) (int, error) {
	count, err := sink.net.Write(buffer)
	sink.sent += int64(count)
	return count, err
}

// bodyErrorRecorder records the error of reading a request body, to distinguish
// it from an error of the connection.
type bodyErrorRecorder struct {
	io.ReadCloser
	err error
}

func (recorder *bodyErrorRecorder) Read(buffer []byte) (int, error) {
	count, err := recorder.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF {
		recorder.err = err
	}
	return count, err
}
