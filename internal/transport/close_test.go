package transport

import (
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A peer that stops reading after the handshake holds Close up for closeLimit
// at most, where TLS by itself gives its last word 5 s. Time is virtual.
func TestCloseDoesNotWaitForAPeerThatReadsNothing(t *testing.T) {
	certificate, pool := selfSigned(t)
	valid := time.Now()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		client := tls.Client(near, &tls.Config{
			RootCAs: pool, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS12, Time: func() time.Time { return valid },
		})
		server := tls.Server(far, &tls.Config{Certificates: []tls.Certificate{certificate}, MaxVersion: tls.VersionTLS12})
		shaken := make(chan error, 1)
		go func() { shaken <- server.Handshake() }()
		assert.NilError(t, client.Handshake())
		assert.NilError(t, <-shaken)
		c := NewConn(client, Options{})
		began := time.Now()
		_ = c.Close()
		assert.Assert(t, time.Since(began) <= closeLimit, "%v", time.Since(began))
		_ = far.Close()
	})
}
