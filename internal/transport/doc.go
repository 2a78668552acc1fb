// Package transport carries typed messages between the product's own processes
// over TCP or TLS.
//
// A connection is one gob stream in each direction, cut into frames:
//
//	length   4 bytes, big endian: bytes of the payload
//	checksum 4 bytes, big endian: CRC-32C (RFC 3720, section 12.1) of the payload
//	payload  one message, with the descriptors of types not yet sent
//
// The length bounds what a peer can make the process allocate, and the memory
// grows with the bytes that really arrive. The checksum finds damage that the
// 16 bits of TCP let through; without it gob could decode damaged bytes into a
// valid but wrong message. Because the stream keeps its type descriptors, a
// message after the first costs 8 bytes of frame and about 3 of gob beside its
// own fields.
//
// A failed Send or Receive leaves the two ends of the gob stream in different
// states, so every error is final for its connection: the connection closes,
// and the caller dials again.
package transport
