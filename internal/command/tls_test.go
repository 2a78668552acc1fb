package command_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/command"
)

// authority signs certificates of one fleet.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(encoded)
	assert.NilError(t, err)
	return &authority{certificate, key}
}

// sign returns a certificate for a name and an address.
func (a *authority) sign(t *testing.T, name string, address net.IP, notAfter time.Time) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{address},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key}
}

func writePEM(t *testing.T, path, kind string, content []byte) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
	return path
}

// output is a buffer that a process writes while the test reads it.
type output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(line []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(line)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.String()
}

// tlsRole is a role with the listeners that require a certificate of the fleet.
type tlsRole struct {
	role, settings string
	listeners      []string
}

// The addresses are used by no other test.
var tlsRoles = []tlsRole{
	{
		role: "controller",
		settings: `replica-id: 1
peers: [1=127.91.7.1:7102]
session: {listen: 127.91.7.1:7101}
peer: {listen: 127.91.7.1:7102}
rpc: {listen: 127.91.7.1:7103}
ops: {listen: 127.91.7.1:7104}
`,
		listeners: []string{"127.91.7.1:7101", "127.91.7.1:7102", "127.91.7.1:7103"},
	},
	{
		role: "agent",
		settings: `controllers: [127.91.7.1:1]
requests: {listen: 127.91.7.1:7201}
backend: {address: 127.91.7.1:2}
ops: {listen: 127.91.7.1:7203}
`,
		listeners: []string{"127.91.7.1:7201"},
	},
}

// TestListenersRejectInvalidClientCertificates starts the complete process of each
// role and dials its listeners with a valid certificate, with one of an unknown
// authority, an expired one, one with a wrong name, and without a certificate.
func TestListenersRejectInvalidClientCertificates(t *testing.T) {
	fleet, unknown := newAuthority(t), newAuthority(t)
	address := net.IPv4(127, 91, 7, 1)
	later, earlier := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	for _, tested := range tlsRoles {
		t.Run(tested.role, func(t *testing.T) {
			log := startWithTLS(t, tested, fleet, fleet.sign(t, "quartzdock", address, later))
			for _, listener := range tested.listeners {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if refusal := dial(listener, fleet, fleet.sign(t, "quartzdock", address, later)); refusal != nil {
						return poll.Continue("%v; %s", refusal, log)
					}
					return poll.Success()
				}, poll.WithTimeout(10*time.Second))
				for name, wrong := range map[string]tls.Certificate{
					"unknown-authority": unknown.sign(t, "quartzdock", address, later),
					"expired":           fleet.sign(t, "quartzdock", address, earlier),
					"wrong-name":        fleet.sign(t, "map", address, later),
					"no-certificate":    {},
				} {
					isRPC := strings.HasSuffix(listener, ":7103")
					if isRPC && name == "wrong-name" {
						continue // operators are identified by their authority only
					}
					assert.Assert(t, dial(listener, fleet, wrong) != nil, "%s accepted an invalid client: %s", listener, name)
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if strings.Contains(log.String(), "reason="+name) {
							return poll.Success()
						}
						return poll.Continue("no reason %s in %s", name, log)
					})
				}
			}
		})
	}
}

func startWithTLS(t *testing.T, tested tlsRole, fleet *authority, own tls.Certificate) *output {
	t.Helper()
	folder := t.TempDir()
	key, err := x509.MarshalPKCS8PrivateKey(own.PrivateKey)
	assert.NilError(t, err)
	common := fmt.Sprintf("name: one\nlocation: {region: r, zone: z}\ndata-folder: %s\ntls: {certificate-file: %s, key-file: %s, ca-file: %s, peer-names: [quartzdock]}\n",
		filepath.Join(folder, "data"),
		writePEM(t, filepath.Join(folder, "own.pem"), "CERTIFICATE", own.Certificate[0]),
		writePEM(t, filepath.Join(folder, "own.key"), "PRIVATE KEY", key),
		writePEM(t, filepath.Join(folder, "ca.pem"), "CERTIFICATE", fleet.certificate.Raw))
	file := filepath.Join(folder, "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(common+tested.settings), 0o600))
	ctx, stop := context.WithCancel(context.Background())
	log, ended := &output{}, make(chan struct{})
	go func() {
		defer close(ended)
		command.Main(ctx, []string{tested.role, "--config", file, "--stop-timeout", "1s"}, log, log)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return log
}

// dial returns the error with which a listener rejected a certificate, or nil.
// With TLS 1.3 the rejection arrives at the first read. A read that times out means
// that the listener accepted the certificate and waits for a request.
func dial(address string, trusted *authority, own tls.Certificate) error {
	roots := x509.NewCertPool()
	roots.AddCert(trusted.certificate)
	config := &tls.Config{RootCAs: roots}
	if own.PrivateKey != nil {
		config.Certificates = []tls.Certificate{own}
	}
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", address, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	return err
}
