package quarantine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// Every part of a request affects its digest, and so does moving bytes from one part to the
// next.
func TestDifferentRequestsHaveDifferentDigests(t *testing.T) {
	base := quarantine.Request{Service: "s", Method: "GET", Host: "h", Target: "/a?b=1", Body: []byte("body")}
	same := base
	same.Body = []byte("body")
	assert.Equal(t, base.Digest(), same.Digest())
	for name, change := range map[string]func(*quarantine.Request){
		"service":         func(r *quarantine.Request) { r.Service = "t" },
		"key":             func(r *quarantine.Request) { r.Key = "7" },
		"method":          func(r *quarantine.Request) { r.Method = "PUT" },
		"host":            func(r *quarantine.Request) { r.Host = "i" },
		"query":           func(r *quarantine.Request) { r.Target = "/a?b=2" },
		"body":            func(r *quarantine.Request) { r.Body = []byte("body2") },
		"moved to a part": func(r *quarantine.Request) { r.Target, r.Body = "/a?b=1b", []byte("ody") },
	} {
		other := base
		change(&other)
		assert.Assert(t, other.Digest() != base.Digest(), name)
	}
}

func BenchmarkDigest(b *testing.B) {
	request := quarantine.Request{Service: "s", Method: "POST", Host: "h.example", Target: "/a/b/c", Body: make([]byte, 1024)}
	for b.Loop() {
		request.Digest()
	}
}
