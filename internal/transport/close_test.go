package transport

import (
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A peer that stops reading after the handshake must not delay Close by more than
// closeTimeout; crypto/tls alone would wait up to 5 s to send the close_notify
// alert. The test runs on virtual time.
func TestCloseIsBoundedWhenPeerDoesNotRead(t *testing.T) {
	certificate, pool := selfSigned(t)
	valid := time.Now()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		client := tls.Client(near, &tls.Config{
			RootCAs: pool, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS12, Time: func() time.Time { return valid },
		})
		server := tls.Server(far, &tls.Config{Certificates: []tls.Certificate{certificate}, MaxVersion: tls.VersionTLS12})
		handshake := make(chan error, 1)
		go func() { handshake <- server.Handshake() }()
		assert.NilError(t, client.Handshake())
		assert.NilError(t, <-handshake)
		c := NewConn(client, Options{})
		start := time.Now()
		_ = c.Close()
		assert.Assert(t, time.Since(start) <= closeTimeout, "%v", time.Since(start))
		_ = far.Close()
	})
}
