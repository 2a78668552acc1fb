package tlsconfig

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// now is the current time in all tests.
var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// authority signs certificates for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(signed)
	assert.NilError(t, err)
	return &authority{t: t, certificate: certificate, key: key}
}

// leafTemplate describes a certificate to sign.
type leafTemplate struct {
	names    []string
	address  string
	notAfter time.Time
}

// files writes a signed certificate, its key and the authorities' file.
func (a *authority) files(described leafTemplate, trusted ...*authority) Files {
	a.t.Helper()
	folder := a.t.TempDir()
	files := Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		CA:          filepath.Join(folder, "ca.pem"),
	}
	a.sign(files, described)
	var pool bytes.Buffer
	for _, one := range append(trusted, a) {
		assert.NilError(a.t, pem.Encode(&pool, &pem.Block{Type: "CERTIFICATE", Bytes: one.certificate.Raw}))
	}
	assert.NilError(a.t, os.WriteFile(files.CA, pool.Bytes(), 0o600))
	return files
}

// sign writes the certificate and key files.
func (a *authority) sign(files Files, described leafTemplate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: "leaf"},
		NotBefore: now.Add(-time.Hour), NotAfter: described.notAfter, DNSNames: described.names,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if described.address != "" {
		template.IPAddresses = []net.IP{net.ParseIP(described.address)}
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed})
	assert.NilError(a.t, os.WriteFile(files.Certificate, block, 0o600))
	block = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
	assert.NilError(a.t, os.WriteFile(files.Key, block, 0o600))
}

// validLeaf is a certificate that every test accepts.
func validLeaf() leafTemplate {
	return leafTemplate{names: []string{"agent.fleet"}, address: "127.0.0.1", notAfter: now.Add(time.Minute)}
}

func openStore(t *testing.T, files Files, log *bytes.Buffer, clock *time.Time, names ...string) *Store {
	t.Helper()
	store, err := Open(Config{
		Files: files, PeerNames: names, Registerer: prometheus.NewRegistry(),
		Log: slog.New(slog.NewTextHandler(log, nil)), Now: func() time.Time { return *clock },
	})
	assert.NilError(t, err)
	return store
}

// handshake connects two configurations over loopback and returns the errors
// of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serverError, clientError error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer raw.Close()
		secured := tls.Server(raw, server)
		if err = secured.Handshake(); err == nil {
			_, err = secured.Write([]byte("x"))
		}
		accepted <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	client.Time = func() time.Time { return now }
	secured := tls.Client(raw, client)
	if clientError = secured.Handshake(); clientError == nil {
		// With TLS 1.3 the server's rejection arrives at the first read.
		_, clientError = secured.Read(make([]byte, 1))
	}
	raw.Close()
	return <-accepted, clientError
}

func refusalCount(store *Store, reason string) float64 {
	return testutil.ToFloat64(store.refusals.counter.WithLabelValues("links", reason))
}

func TestMutualTLSConnectionIsAccepted(t *testing.T) {
	ca, log, clock := newAuthority(t, "fleet"), new(bytes.Buffer), now
	store := openStore(t, ca.files(validLeaf()), log, &clock, "router.fleet", "agent.fleet")
	serverError, clientError := handshake(t, store.Link(), store.Link())
	assert.NilError(t, serverError)
	assert.NilError(t, clientError)
	assert.Equal(t, log.String(), "")
}

func TestListenerLogsAndCountsRefusalsByReason(t *testing.T) {
	fleet, unknown := newAuthority(t, "fleet"), newAuthority(t, "unknown")
	early := now.Add(-30 * time.Minute)
	cases := []struct {
		name   string
		client *tls.Config
		reason string
	}{
		{"no certificate", nil, reasonNoCertificate},
		{"unknown authority", clientConfig(t, unknown, validLeaf(), now, fleet), reasonUnknownAuthority},
		{"expired", clientConfig(t, fleet, leafTemplate{names: []string{"agent.fleet"}, notAfter: early.Add(time.Minute)}, early), reasonExpired},
		{"name not accepted", clientConfig(t, fleet, leafTemplate{names: []string{"map.fleet"}, notAfter: now.Add(time.Minute)}, now), reasonWrongName},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log, clock := new(bytes.Buffer), now
			store := openStore(t, fleet.files(validLeaf()), log, &clock, "agent.fleet")
			client := test.client
			if client == nil {
				client = &tls.Config{RootCAs: store.current.Load().fleet}
			}
			for range 2 {
				serverError, clientError := handshake(t, store.Link(), client)
				assert.Equal(t, reasonOf(serverError), test.reason)
				assert.Assert(t, clientError != nil)
			}
			assert.Equal(t, refusalCount(store, test.reason), 2.0)
			assert.Equal(t, strings.Count(log.String(), "reason="+test.reason), 1, "one line for two refusals: %s", log)
		})
	}
}

// clientConfig returns a dialling configuration that was loaded at a time.
func clientConfig(t *testing.T, ca *authority, described leafTemplate, at time.Time, trusted ...*authority) *tls.Config {
	t.Helper()
	return openStore(t, ca.files(described, trusted...), new(bytes.Buffer), &at).Link()
}

func TestDialerRejectsInvalidServerCertificate(t *testing.T) {
	fleet, unknown := newAuthority(t, "fleet"), newAuthority(t, "unknown")
	client := clientConfig(t, fleet, validLeaf(), now)
	elsewhere := validLeaf()
	elsewhere.address = "127.0.0.9"
	cases := map[string]*tls.Config{
		"unknown authority":               clientConfig(t, unknown, validLeaf(), now, fleet),
		"valid for 127.0.0.9, not 127.0.": clientConfig(t, fleet, elsewhere, now),
		"expired":                         clientConfig(t, fleet, leafTemplate{address: "127.0.0.1", notAfter: now.Add(-time.Minute)}, now.Add(-30*time.Minute)),
	}
	for problem, server := range cases {
		_, err := handshake(t, server, client)
		assert.ErrorContains(t, err, problem)
	}
}

func TestReloadAppliesValidFilesAndKeepsPreviousOnError(t *testing.T) {
	ca, log, clock := newAuthority(t, "fleet"), new(bytes.Buffer), now
	files := ca.files(validLeaf())
	store := openStore(t, files, log, &clock)
	link := store.Link()

	assert.NilError(t, os.WriteFile(files.Key, []byte("damaged"), 0o600))
	assert.ErrorContains(t, store.Reload(), "key.pem")
	_, err := handshake(t, link, link)
	assert.NilError(t, err)

	ca.sign(files, leafTemplate{address: "127.0.0.1", notAfter: now.Add(-time.Minute)})
	assert.ErrorIs(t, store.Reload(), ErrExpired)
	assert.Equal(t, testutil.ToFloat64(store.reloads.WithLabelValues(reloadRefused)), 2.0)

	renewed := validLeaf()
	renewed.notAfter = now.Add(30 * time.Minute)
	ca.sign(files, renewed)
	assert.NilError(t, store.Reload())
	assert.Equal(t, testutil.ToFloat64(store.expiry), float64(renewed.notAfter.Unix()))
	clock = now.Add(10 * time.Minute) // past the first certificate's end
	serverError, _ := handshake(t, link, link)
	assert.NilError(t, serverError)
}

func TestOpenReportsAllUnusableFiles(t *testing.T) {
	folder := t.TempDir()
	_, err := Open(Config{Files: Files{
		Certificate: folder + "/no-certificate.pem", Key: folder + "/no-key.pem",
		CA: folder + "/no-ca.pem", OperatorCA: folder + "/no-operator-ca.pem",
	}, Registerer: prometheus.NewRegistry()})
	for _, file := range []string{"no-certificate.pem", "no-ca.pem", "no-operator-ca.pem"} {
		assert.ErrorContains(t, err, file)
	}
}
