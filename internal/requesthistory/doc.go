// Package requesthistory finds in the logs of many processes what became of one
// request, and why. It reads lines of JSON as the gateways and controllers of a
// fleet write them (docs/OPERATIONS.md); whatever stands before the JSON in a
// line, such as a collector's prefix, is passed over.
//
// A history has the lines that carry the request's id, and around them those
// that tell of what decided it: the state of the back ends that it was offered
// to, moves of its key, leadership and configuration. One line is marked as
// decisive.
package requesthistory
