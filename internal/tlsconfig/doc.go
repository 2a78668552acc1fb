// Package tlsconfig serves certificates from files to the listeners and
// connections of a process, using crypto/tls and crypto/x509 alone.
//
// Links between processes are mutual: both sides show a certificate of the
// fleet's authorities, and the dialled side's must carry the IP number or name
// that was dialled. Certificates, keys and the authorities by which a listener
// checks its peers are read again at Reload; the authorities by which a dialler
// checks a listener are those of the start. A file that can't be used leaves
// the previous material in force.
//
// A refused peer counts in quartzdock_tls_refused_total by listener and reason,
// and the first refusal of each kind in a minute is logged.
package tlsconfig
