// Package departure records which incarnations of back ends have announced that they depart: by
// a heartbeat that reports a drain, or by a deregistration.
//
// A gateway has no disk, so what it has acknowledged ends with its process. An announcement is
// therefore acknowledged only once it is in a Set, which the controllers replicate (write-ahead
// acknowledgement). Each gateway process is told the records of its gateway before the first
// lease, without which it takes no back end for the one that it may send requests to. A record
// is final: an incarnation that has announced its departure never becomes ready again.
//
// The package is pure: announcements go in, decisions come out.
package departure
