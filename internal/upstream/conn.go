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
	// maxHeaderBytes bounds an answer's header.
	maxHeaderBytes = 64 << 10
)

// readers and writers are the buffers of connections in use.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn is one connection. One request at a time uses it.
type conn struct {
	net net.Conn
	// reader and writer are there from wake to rest.
	reader    *bufio.Reader
	writer    *bufio.Writer
	source    limitedSource
	sink      countingSink
	idleSince time.Time
	// rested says that nothing had used it for a while when it was taken.
	rested bool

	// raw, peek and nothingToRead belong to quiet; broken: there is no raw.
	raw           syscall.RawConn
	peek          func(file uintptr) bool
	nothingToRead bool
	broken        bool

	mutex sync.Mutex
	// ending: awaitEnd has begun; interrupt changes nothing any more.
	ending bool
}

func newConn(netConn net.Conn) *conn {
	connection := &conn{net: netConn}
	connection.source = limitedSource{net: netConn, left: math.MaxInt64}
	connection.sink = countingSink{net: netConn}
	connection.preparePeek()
	return connection
}

// wake gives a connection its buffers, before a request.
func (connection *conn) wake() {
	if connection.reader != nil {
		return
	}
	connection.reader = readers.Get().(*bufio.Reader)
	connection.reader.Reset(&connection.source)
	connection.writer = writers.Get().(*bufio.Writer)
	connection.writer.Reset(&connection.sink)
}

// rest gives the buffers back, while nothing is in them and no request uses them.
func (connection *conn) rest() {
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

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// interrupt ends reads and writes in progress, and those to come until
// awaitEnd.
func (connection *conn) interrupt() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.ending {
		_ = connection.net.SetDeadline(past)
	}
}

// halfCloser can tell the peer that nothing more will be sent, and still read.
type halfCloser interface{ CloseWrite() error }

// awaitEnd closes the connection for writing, which a server takes for the
// client's leaving, and returns when the peer closes it too, or after the
// limit. What the peer still sends is dropped.
func (connection *conn) awaitEnd(limit time.Duration) {
	half, ok := connection.net.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	connection.mutex.Lock()
	connection.ending = true
	_ = connection.net.SetWriteDeadline(past)
	_ = connection.net.SetReadDeadline(time.Now().Add(limit))
	connection.mutex.Unlock()
	_, _ = io.Copy(io.Discard, connection.net)
}

// quiet says that an idle connection is open and has nothing to read. Bytes
// that nobody asked for would be taken for the next request's answer. The
// check costs one system call and can't see a close that is still on its way;
// a request that meets such a close ends with ErrInterrupted, never with a
// second write.
func (connection *conn) quiet() bool {
	if connection.raw == nil {
		return !connection.broken
	}
	connection.nothingToRead = false
	return connection.raw.Read(connection.peek) == nil && connection.nothingToRead
}

// preparePeek makes what quiet needs once for all its calls. Connections
// without a file, as under TLS, are taken for quiet.
func (connection *conn) preparePeek() {
	withFile, ok := connection.net.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withFile.SyscallConn()
	if err != nil {
		connection.broken = true
		return
	}
	var peeked [1]byte
	connection.raw = raw
	connection.peek = func(file uintptr) bool {
		_, _, err := syscall.Recvfrom(int(file), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		connection.nothingToRead = err == syscall.EAGAIN
		return true
	}
}

// limitedSource reads the connection and bounds how much of it a header takes.
type limitedSource struct {
	net  net.Conn
	left int64
}

func (source *limitedSource) Read(buffer []byte) (int, error) {
	if source.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(buffer)) > source.left {
		buffer = buffer[:source.left]
	}
	count, err := source.net.Read(buffer)
	source.left -= int64(count)
	return count, err
}

// countingSink counts what was handed to the operating system since reset.
type countingSink struct {
	net  net.Conn
	sent int64
}

func (sink *countingSink) Write(buffer []byte) (int, error) {
	count, err := sink.net.Write(buffer)
	sink.sent += int64(count)
	return count, err
}

// failureRecorder keeps the error of a request body's source, to tell it from
// an error of the connection.
type failureRecorder struct {
	io.ReadCloser
	err error
}

func (recorder *failureRecorder) Read(buffer []byte) (int, error) {
	count, err := recorder.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF {
		recorder.err = err
	}
	return count, err
}
