// Package namehash hashes names to numbers that are the same in all processes and whose bits are
// evenly distributed, also for names that differ only in their ends. It is for spreading, not for
// security.
package namehash

import "hash/fnv"

// Of returns the hash of a list of names.
func Of(names ...string) uint64 {
	hash := fnv.New64a()
	for _, name := range names {
		_, _ = hash.Write([]byte(name))
		_, _ = hash.Write([]byte{0})
	}
	return mix(hash.Sum64())
}

// mix is the finalizer of MurmurHash3. FNV-1a alone leaves the high bits of names that differ
// only in their last characters nearly equal.
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
