package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

// Config configures a Store.
type Config struct {
	Files Files
	// Name is the purpose of the store, for example "fleet" or "callers". It is a
	// label of the metrics and distinguishes the stores of a process.
	Name string
	// PeerNames are the DNS names of which a client's certificate must contain one on
	// connections between processes; if empty, all certificates of the fleet are
	// accepted.
	PeerNames []string
	// Registerer registers the metrics of the store.
	Registerer prometheus.Registerer
	Log        *slog.Logger
	// Now is the clock for checking validity periods; nil means time.Now.
	Now func() time.Time
}

// Store holds the current credentials and returns TLS configurations that use them,
// also after a reload.
type Store struct {
	config   Config
	current  atomic.Pointer[credentials]
	refusals *refusals
	expiry   prometheus.Gauge
	reloads  *prometheus.CounterVec
	// reloadFailing is set if the last reload failed.
	reloadFailing bool
}

// Results of a reload, as a label.
const (
	reloadDone    = "done"
	reloadRefused = "refused"
)

// Open loads the files. The error lists all problems.
func Open(config Config) (*Store, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	store := &Store{
		config:   config,
		refusals: newRefusals(config),
		expiry: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: "tls", Name: "certificate_expiry_timestamp_seconds",
			Help:        "When the process's own certificate expires, in seconds since 1970.",
			ConstLabels: prometheus.Labels{"store": config.Name},
		}),
		reloads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: "tls", Name: "reloads_total",
			Help:        "Reads of the certificate files after the start, by result.",
			ConstLabels: prometheus.Labels{"store": config.Name},
		}, []string{"result"}),
	}
	loaded, err := config.Files.load(config.Now())
	if err != nil {
		return nil, err
	}
	store.activate(loaded)
	config.Registerer.MustRegister(store.expiry, store.reloads, store.refusals.counter)
	return store, nil
}

// activate makes the loaded credentials the current ones.
func (store *Store) activate(loaded *credentials) {
	store.current.Store(loaded)
	store.expiry.Set(float64(loaded.certificate.Leaf.NotAfter.Unix()))
}

// Reload reloads the files. After an error the previous credentials remain in use;
// only the first of consecutive errors is logged. Reload must not be called
// concurrently.
func (store *Store) Reload() error {
	loaded, err := store.config.Files.load(store.config.Now())
	if err != nil {
		store.reloads.WithLabelValues(reloadRefused).Inc()
		if !store.reloadFailing {
			store.config.Log.Error("reload of certificate files failed, keeping the previous ones", "store", store.config.Name, "error", err)
		}
		store.reloadFailing = true
		return err
	}
	store.reloadFailing = false
	previous := store.current.Load()
	store.activate(loaded)
	store.reloads.WithLabelValues(reloadDone).Inc()
	if !previous.certificate.Leaf.Equal(loaded.certificate.Leaf) {
		store.config.Log.Info("certificate replaced", "store", store.config.Name, "expires", loaded.certificate.Leaf.NotAfter)
	}
	return nil
}

// Link returns the configuration of both sides of connections between processes:
// mutual TLS 1.3.
func (store *Store) Link() *tls.Config {
	config := store.mutualTLS("links", func() *x509.CertPool { return store.current.Load().fleet }, store.config.PeerNames)
	config.RootCAs = store.current.Load().fleet
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &store.current.Load().certificate, nil
	}
	return config
}

// Operators returns the configuration of a listener for operators: mutual TLS with
// the operators' authorities.
func (store *Store) Operators() *tls.Config {
	return store.mutualTLS("operators", func() *x509.CertPool { return store.current.Load().operators }, nil)
}

// Server returns the configuration of a listener that requires no client
// certificate, for monitoring and for callers.
func (store *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: store.certificate,
	}
}

// mutualTLS returns a configuration that requires a client certificate and verifies
// it with the current pool. Verification runs in VerifyConnection, so that each
// refusal can be counted; it also runs for resumed sessions.
func (store *Store) mutualTLS(listener string, pool func() *x509.CertPool, names []string) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: store.certificate,
		ClientAuth:     tls.RequestClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.VerifiedChains) > 0 {
				// This is the client: crypto/tls has verified the server.
				return nil
			}
			return store.refusals.record(listener, verifyClient(state, pool(), names, store.config.Now()))
		},
	}
}

// certificate returns the current certificate of the process.
func (store *Store) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &store.current.Load().certificate, nil
}
