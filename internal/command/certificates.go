package command

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/tlsconfig"
)

// certificates holds the certificate stores of a process and reloads them.
type certificates struct {
	settings *settings.TLS
	registry prometheus.Registerer
	log      *slog.Logger
	// fleet is the store for internal connections and operators; nil without TLS.
	fleet *tlsconfig.Store

	mutex  sync.Mutex
	stores []*tlsconfig.Store
}

// openFleet opens the store for internal connections and operators if TLS is
// enabled.
func (c *certificates) openFleet() error {
	if !c.settings.Enabled() {
		return nil
	}
	store, err := c.open("fleet", tlsconfig.Files{
		Certificate: c.settings.CertificateFile,
		Key:         c.settings.KeyFile,
		CA:          c.settings.CAFile,
		OperatorCA:  c.settings.OperatorCAFile,
	})
	c.fleet = store
	return err
}

// open loads certificate files and registers them for reloading.
func (c *certificates) open(name string, files tlsconfig.Files) (*tlsconfig.Store, error) {
	store, err := tlsconfig.Open(tlsconfig.Config{
		Name:       name,
		Files:      files,
		PeerNames:  c.settings.PeerNames,
		Registerer: c.registry,
		Log:        c.log,
	})
	if err != nil {
		return nil, fmt.Errorf("load certificates for %s: %w", name, err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stores = append(c.stores, store)
	return store, nil
}

// linkTLS returns the configuration of both sides of connections between
// processes; nil without TLS.
func (c *certificates) linkTLS() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Link()
}

// operatorTLS returns the configuration of the listener for operators; nil
// without TLS.
func (c *certificates) operatorTLS() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Operators()
}

// monitoringTLS returns the configuration of the listener for monitoring; nil
// without TLS.
func (c *certificates) monitoringTLS() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Server()
}

// reloadAtInterval reloads all files periodically until the context ends.
func (c *certificates) reloadAtInterval(ctx context.Context) {
	ticker := time.NewTicker(c.settings.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reload()
		}
	}
}

// reload reloads all files. A store logs and counts files that it cannot use, and
// keeps its previous certificates.
func (c *certificates) reload() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range c.stores {
		_ = store.Reload()
	}
}
