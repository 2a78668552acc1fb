package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest names a request by what a back end is given of it. Two requests that differ have the
// same one only by a collision of the first 128 bits of SHA-256.
type Digest [16]byte

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Request is what makes two requests the same. Its id, its deadline and the gateway that took
// it are not part of it: they differ each time it comes.
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

// Digest returns the request's name.
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
