// Package ratelimit keeps the rate of requests to a back end within the limit that the back end
// states in its responses. The package is pure: the time is an argument of every call.
//
// The gateway beside a back end is the only way to it, so that its Limiter counts the requests of
// all gateways. A gateway that has passed a statement on to a caller sends it along with its
// further requests to that back end. A gateway that was restarted beside a back end therefore
// knows the limit before it passes on the first request that has to keep to it.
package ratelimit
