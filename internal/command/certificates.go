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

// certificates holds the certificate stores of a process and rereads them.
type certificates struct {
	settings *settings.TLS
	registry prometheus.Registerer
	log      *slog.Logger
	// fleet is that of internal links and operators; nil is without TLS.
	fleet *tlsconfig.Store

	mutex  sync.Mutex
	stores []*tlsconfig.Store
}

// openFleet reads the certificates of internal links, if TLS is on.
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

// open reads certificate files, which are reread from then on.
func (c *certificates) open(name string, files tlsconfig.Files) (*tlsconfig.Store, error) {
	store, err := tlsconfig.Open(tlsconfig.Config{
		Name:       name,
		Files:      files,
		PeerNames:  c.settings.PeerNames,
		Registerer: c.registry,
		Log:        c.log,
	})
	if err != nil {
		return nil, fmt.Errorf("certificates of %s: %w", name, err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stores = append(c.stores, store)
	return store, nil
}

// links returns the configuration of links between processes, for both sides;
// nil is plain.
func (c *certificates) links() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Link()
}

// operators returns the configuration of the operators' listener; nil is
// plain.
func (c *certificates) operators() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Operators()
}

// monitoring returns the configuration of the listener for monitoring; nil is
// plain.
func (c *certificates) monitoring() *tls.Config {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Server()
}

// reloadAtInterval rereads all files until the context ends.
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

// reload rereads all files. What can't be used is logged and counted by its
// store, and the previous certificates stay in force.
func (c *certificates) reload() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range c.stores {
		_ = store.Reload()
	}
}
