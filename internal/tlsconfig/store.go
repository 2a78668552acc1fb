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
	// Name tells several stores of a process apart, in labels; it is the
	// store's use, for example "fleet" or "callers".
	Name string
	// PeerNames: a peer's certificate on a link between processes must carry
	// one of these DNS names; empty accepts all of the fleet's.
	PeerNames []string
	// Registerer takes the counters.
	Registerer prometheus.Registerer
	Log        *slog.Logger
	// Now is the clock for periods of validity; nil takes time.Now.
	Now func() time.Time
}

// Store holds the material in force and makes TLS configurations that follow
// it.
type Store struct {
	config  Config
	current atomic.Pointer[material]
	refused *refusals
	expiry  prometheus.Gauge
	reloads *prometheus.CounterVec
	// failing says that the last reload was refused.
	failing bool
}

// Results of a reload, as a label.
const (
	reloadDone    = "done"
	reloadRefused = "refused"
)

// Open reads the files. The error lists every problem.
func Open(config Config) (*Store, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	store := &Store{
		config:  config,
		refused: newRefusals(config),
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
	loaded, err := config.Files.read(config.Now())
	if err != nil {
		return nil, err
	}
	store.use(loaded)
	config.Registerer.MustRegister(store.expiry, store.reloads, store.refused.counter)
	return store, nil
}

// use puts material in force.
func (store *Store) use(loaded *material) {
	store.current.Store(loaded)
	store.expiry.Set(float64(loaded.certificate.Leaf.NotAfter.Unix()))
}

// Reload reads the files again. On an error, which is logged where the last
// reload had none, the previous material stays in force. Calls must not
// overlap.
func (store *Store) Reload() error {
	loaded, err := store.config.Files.read(store.config.Now())
	if err != nil {
		store.reloads.WithLabelValues(reloadRefused).Inc()
		if !store.failing {
			store.config.Log.Error("certificate files refused; the previous ones stay in force", "store", store.config.Name, "error", err)
		}
		store.failing = true
		return err
	}
	store.failing = false
	previous := store.current.Load()
	store.use(loaded)
	store.reloads.WithLabelValues(reloadDone).Inc()
	if !previous.certificate.Leaf.Equal(loaded.certificate.Leaf) {
		store.config.Log.Info("certificate replaced", "store", store.config.Name, "expires", loaded.certificate.Leaf.NotAfter)
	}
	return nil
}

// Link returns the configuration of links between processes, for both sides:
// mutual, TLS 1.3.
func (store *Store) Link() *tls.Config {
	config := store.server("links", func() *x509.CertPool { return store.current.Load().fleet }, store.config.PeerNames)
	config.RootCAs = store.current.Load().fleet
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &store.current.Load().certificate, nil
	}
	return config
}

// Operators returns the configuration of a listener for operators: mutual,
// against the operators' authorities.
func (store *Store) Operators() *tls.Config {
	return store.server("operators", func() *x509.CertPool { return store.current.Load().operators }, nil)
}

// Server returns the configuration of a listener that asks no certificate of
// its clients, for monitoring and for callers.
func (store *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: store.certificate,
	}
}

// server returns a configuration that demands a certificate of the client and
// verifies it against the pool in force. Verification runs in VerifyConnection,
// which also runs for resumed sessions, so that each refusal can be counted.
func (store *Store) server(listener string, pool func() *x509.CertPool, names []string) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: store.certificate,
		ClientAuth:     tls.RequestClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.VerifiedChains) > 0 {
				// The dialling side: crypto/tls has verified the listener.
				return nil
			}
			return store.refused.note(listener, verifyClient(state, pool(), names, store.config.Now()))
		},
	}
}

// certificate returns the process's own certificate in force.
func (store *Store) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &store.current.Load().certificate, nil
}
