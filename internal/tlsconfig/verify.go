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

// ErrNoCertificate says that a client showed no certificate.
var ErrNoCertificate = errors.New("client showed no certificate")

// ErrWrongName says that a client's certificate carries none of the names
// that are accepted.
var ErrWrongName = errors.New("certificate carries no accepted name")

// verifyClient checks a client's certificate: chain, period, usage and name.
func verifyClient(state tls.ConnectionState, pool *x509.CertPool, names []string, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	if err := checkPeriod(leaf, now); err != nil {
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

// Reasons of a refusal, as a label.
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

// refusalLogInterval is the least time between two lines about refusals of
// one kind.
const refusalLogInterval = time.Minute

// refusalKind is what a counter and a log line tell apart.
type refusalKind struct{ listener, reason string }

// refusals counts and logs refused peers.
type refusals struct {
	counter *prometheus.CounterVec
	log     *slog.Logger
	now     func() time.Time

	mutex  sync.Mutex
	logged map[refusalKind]time.Time
}

// newRefusals returns the counter, not yet registered.
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

// note counts an error and returns it.
func (refusals *refusals) note(listener string, err error) error {
	if err == nil {
		return nil
	}
	kind := refusalKind{listener: listener, reason: reasonOf(err)}
	refusals.counter.WithLabelValues(kind.listener, kind.reason).Inc()
	if refusals.dueForLog(kind) {
		refusals.log.Warn("connection refused for its certificate",
			"listener", kind.listener, "reason", kind.reason, "error", err)
	}
	return err
}

// dueForLog says whether no refusal of the kind was logged in the interval.
func (refusals *refusals) dueForLog(kind refusalKind) bool {
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	now := refusals.now()
	if last, logged := refusals.logged[kind]; logged && now.Sub(last) < refusalLogInterval {
		return false
	}
	refusals.logged[kind] = now
	return true
}
