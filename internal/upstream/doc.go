// Package upstream is an HTTP/1.1 client with a connection pool for one peer: a
// router uses it for an agent, an agent for its back end. It differs from
// net/http.Transport in four ways that the request path depends on:
//
//   - A request is written at most once. http.Transport sends some requests
//     again when a reused connection breaks, including those that carry an
//     Idempotency-Key header; this package never does.
//   - An error tells whether any byte of the request can have left the process:
//     ErrNotSent proves that none has, ErrInterrupted is every other failure.
//   - Open connections, including those being dialled, never exceed
//     Config.MaxConnections, and Config.MinWarm of them are kept open.
//   - A response whose end can't be told from a broken connection (neither a
//     length nor chunks, RFC 9112 section 6.3) is rejected.
//
// A connection is reused only after the whole request was written and the whole
// response was read, so a late response can't be taken for that of another
// request.
package upstream
