// Package upstream is the client side of one HTTP/1.1 peer: a router's agent,
// or an agent's back end. It differs from net/http.Transport in four ways that
// the request path depends on:
//
//   - A request is written at most once. http.Transport sends some requests
//     again when a reused connection breaks, including those that carry an
//     Idempotency-Key header; this package never does.
//   - A failure says whether any byte of the request can have left:
//     ErrNotSent is proof that none has, ErrInterrupted is everything else.
//   - Open connections, including those being dialled, never exceed
//     Config.MaxConnections, and Config.MinWarm of them are kept open.
//   - An answer whose end can't be told from a broken connection (neither a
//     length nor chunks, RFC 9112 section 6.3) is refused.
//
// A connection is used again only after the whole request was written and the
// whole answer was read, so a late answer can't reach another request.
package upstream
