package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by what a back end receives of it. Different requests have the
// same digest only if the first 128 bits of SHA-256 collide.
type Digest [16]byte

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Request holds the parts of a request that identify it. Its ID, its deadline and the gateway
// that received it are not among them: they differ at each attempt.
type Request struct {
	Service string
	// Key is as the caller sent it, empty where the service has none.
	Key    string
	Method string
	Host   string
	// Target is the path with the query, as the caller sent it.
	Target string
	Body   []byte
}

// Digest returns the digest of the request.
func (r *Request) Digest() Digest {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(r.Service), []byte(r.Key), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}
