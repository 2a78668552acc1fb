package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Files names the PEM files of a process.
type Files struct {
	// Certificate and Key are the process's own.
	Certificate string
	Key         string
	// CA holds the authorities of the fleet; empty for a Store that only
	// serves strangers, such as callers.
	CA string
	// OperatorCA holds the authorities of operators; empty takes CA.
	OperatorCA string
}

// material is what was read from Files.
type material struct {
	certificate tls.Certificate
	fleet       *x509.CertPool
	operators   *x509.CertPool
}

// ErrExpired says that a certificate's period of validity is over.
var ErrExpired = errors.New("certificate expired")

// ErrNotYetValid says that a certificate's period of validity has not begun.
var ErrNotYetValid = errors.New("certificate not yet valid")

// read reads all files and returns every problem together.
func (files Files) read(now time.Time) (*material, error) {
	loaded := &material{}
	var problems []error
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		problems = append(problems, fmt.Errorf("certificate %s with key %s: %w", files.Certificate, files.Key, err))
	} else if err := checkPeriod(certificate.Leaf, now); err != nil {
		problems = append(problems, fmt.Errorf("certificate %s: %w", files.Certificate, err))
	}
	loaded.certificate = certificate
	if files.CA != "" {
		loaded.fleet, err = readPool(files.CA)
		problems = append(problems, err)
		loaded.operators = loaded.fleet
	}
	if files.OperatorCA != "" {
		loaded.operators, err = readPool(files.OperatorCA)
		problems = append(problems, err)
	}
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	return loaded, nil
}

// checkPeriod returns ErrExpired or ErrNotYetValid with the time.
func checkPeriod(leaf *x509.Certificate, now time.Time) error {
	switch {
	case now.After(leaf.NotAfter):
		return fmt.Errorf("%w at %s", ErrExpired, leaf.NotAfter.UTC().Format(time.RFC3339))
	case now.Before(leaf.NotBefore):
		return fmt.Errorf("%w before %s", ErrNotYetValid, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}

// readPool reads the authorities of a PEM file.
func readPool(file string) (*x509.CertPool, error) {
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
