// Package requesthistory reconstructs the history of one request from the logs of
// many processes, and why it ended as it did. It reads lines of JSON as the gateways
// and controllers of a fleet write them (docs/OPERATIONS.md); text before the JSON
// in a line, such as a log collector's prefix, is skipped.
//
// A history consists of the lines with the request's id and of lines from about the
// same time about what affected it: the state of the back ends that it was offered
// to, moves of its key, leadership and configuration. One line is marked as
// decisive.
package requesthistory
