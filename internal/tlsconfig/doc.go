// Package tlsconfig provides TLS configurations for the listeners and connections
// of a process, with certificates that are loaded from files and can be reloaded.
// It uses only crypto/tls and crypto/x509.
//
// Connections between processes use mutual TLS: both sides present a certificate
// that an authority of the fleet has signed, and the server's certificate must
// contain the IP address or name that was dialed. Reload reloads certificates, keys
// and the authorities with which a listener verifies clients; the authorities with
// which a client verifies servers remain those loaded at the start. If a file cannot
// be used, the previous credentials remain in use.
//
// quartzdock_tls_refused_total counts refused clients by listener and reason. The
// first refusal of each kind in a minute is logged.
package tlsconfig
