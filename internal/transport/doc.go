// Package transport sends typed messages between the processes of this project
// over TCP or TLS.
//
// A connection is one gob stream in each direction, split into frames:
//
//	length   4 bytes, big endian: size of the payload in bytes
//	checksum 4 bytes, big endian: CRC-32C (RFC 3720, section 12.1) of the payload
//	payload  one message, with the descriptors of the types not sent before
//
// The length, which is checked against a limit, bounds the memory that a peer can
// make the process allocate, and the buffer grows only with the bytes that
// actually arrive. The checksum detects corruption that TCP's 16-bit checksum
// misses; without it gob could decode damaged bytes into a valid but wrong
// message. Because type descriptors are sent once per stream, every message after
// the first has an overhead of 8 bytes for the frame and about 3 for gob.
//
// A failed Send or Receive leaves the two ends of the gob stream in different
// states, so every error closes the connection, and the caller has to dial again.
package transport
