package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Files contains the paths of the PEM files of a process.
type Files struct {
	// Certificate and Key are those of the process itself.
	Certificate string
	Key         string
	// CA contains the authorities of the fleet. It is empty for a Store whose clients
	// need no certificate, such as callers.
	CA string
	// OperatorCA contains the authorities of operators; if it is empty, CA is used.
	OperatorCA string
}

// credentials is what was read from Files.
type credentials struct {
	certificate tls.Certificate
	fleet       *x509.CertPool
	operators   *x509.CertPool
}

// ErrExpired is returned for a certificate whose validity period has ended.
var ErrExpired = errors.New("certificate expired")

// ErrNotYetValid is returned for a certificate whose validity period has not begun.
var ErrNotYetValid = errors.New("certificate not yet valid")

// load reads all files and returns every problem together.
func (files Files) load(now time.Time) (*credentials, error) {
	loaded := &credentials{}
	var problems []error
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		problems = append(problems, fmt.Errorf("certificate %s with key %s: %w", files.Certificate, files.Key, err))
	} else if err := checkValidity(certificate.Leaf, now); err != nil {
		problems = append(problems, fmt.Errorf("certificate %s: %w", files.Certificate, err))
	}
	loaded.certificate = certificate
	if files.CA != "" {
		loaded.fleet, err = loadCertPool(files.CA)
		problems = append(problems, err)
		loaded.operators = loaded.fleet
	}
	if files.OperatorCA != "" {
		loaded.operators, err = loadCertPool(files.OperatorCA)
		problems = append(problems, err)
	}
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	return loaded, nil
}

// checkValidity returns an error that wraps ErrExpired or ErrNotYetValid if now is
// outside of the validity period of leaf.
func checkValidity(leaf *x509.Certificate, now time.Time) error {
	switch {
	case now.After(leaf.NotAfter):
		return fmt.Errorf("%w at %s", ErrExpired, leaf.NotAfter.UTC().Format(time.RFC3339))
	case now.Before(leaf.NotBefore):
		return fmt.Errorf("%w before %s", ErrNotYetValid, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}

// loadCertPool reads the authorities of a PEM file.
func loadCertPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("certificate authorities %s: no certificate in PEM form found", file)
	}
	return pool, nil
}
