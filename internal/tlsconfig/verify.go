package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

// ErrNoCertificate is returned if a client presents no certificate.
var ErrNoCertificate = errors.New("client presented no certificate")

// ErrWrongName is returned if a client's certificate contains none of the accepted
// names.
var ErrWrongName = errors.New("certificate contains no accepted name")

// verifyClient verifies a client's certificate: chain, validity period, key usage
// and name.
func verifyClient(state tls.ConnectionState, pool *x509.CertPool, names []string, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	if err := checkValidity(leaf, now); err != nil {
		return fmt.Errorf("client %q: %w", leaf.Subject.CommonName, err)
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fmt.Errorf("client %q: %w", leaf.Subject.CommonName, err)
	}
	if len(names) == 0 || slices.ContainsFunc(names, func(name string) bool { return leaf.VerifyHostname(name) == nil }) {
		return nil
	}
	return fmt.Errorf("client %q with names %s: %w", leaf.Subject.CommonName, strings.Join(leaf.DNSNames, ", "), ErrWrongName)
}

// Values of the reason label of refused connections.
const (
	reasonNoCertificate    = "no-certificate"
	reasonExpired          = "expired"
	reasonNotYetValid      = "not-yet-valid"
	reasonUnknownAuthority = "unknown-authority"
	reasonWrongName        = "wrong-name"
	reasonOther            = "other"
)

// reasonOf classifies a verification error.
func reasonOf(err error) string {
	var authority x509.UnknownAuthorityError
	switch {
	case errors.Is(err, ErrNoCertificate):
		return reasonNoCertificate
	case errors.Is(err, ErrExpired):
		return reasonExpired
	case errors.Is(err, ErrNotYetValid):
		return reasonNotYetValid
	case errors.Is(err, ErrWrongName):
		return reasonWrongName
	case errors.As(err, &authority):
		return reasonUnknownAuthority
	default:
		return reasonOther
	}
}

// refusalLogInterval is the minimum time between two log lines about refusals of
// the same kind.
const refusalLogInterval = time.Minute

// refusalKind identifies the refusals that are counted and rate-limited together.
type refusalKind struct{ listener, reason string }

// refusals counts and logs refused clients.
type refusals struct {
	counter *prometheus.CounterVec
	log     *slog.Logger
	now     func() time.Time

	mutex  sync.Mutex
	logged map[refusalKind]time.Time
}

// newRefusals returns refusals whose counter is not registered yet.
func newRefusals(config Config) *refusals {
	return &refusals{
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: "tls", Name: "refused_total",
			Help:        "Connections refused for their certificate, by listener and reason.",
			ConstLabels: prometheus.Labels{"store": config.Name},
		}, []string{"listener", "reason"}),
		log:    config.Log,
		now:    config.Now,
		logged: make(map[refusalKind]time.Time),
	}
}

// record counts and logs an error, and returns it.
func (refusals *refusals) record(listener string, err error) error {
	if err == nil {
		return nil
	}
	kind := refusalKind{listener: listener, reason: reasonOf(err)}
	refusals.counter.WithLabelValues(kind.listener, kind.reason).Inc()
	if refusals.shouldLog(kind) {
		refusals.log.Warn("connection rejected: no valid client certificate",
			"listener", kind.listener, "reason", kind.reason, "error", err)
	}
	return err
}

// shouldLog reports whether no refusal of this kind was logged in the last
// refusalLogInterval, and if so records that one is logged now.
func (refusals *refusals) shouldLog(kind refusalKind) bool {
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	now := refusals.now()
	if last, logged := refusals.logged[kind]; logged && now.Sub(last) < refusalLogInterval {
		return false
	}
	refusals.logged[kind] = now
	return true
}
