// Package history records what operators ask of a group of controllers and what
// they are told, and checks whether the answers could have come from a single
// register that makes one change at a time (linearizability; Herlihy and Wing
// 1990), with the checker porcupine.
//
// The register is the configuration: its revision and the author of its last
// change. A change names the revision that it expects and is accepted only if
// that is the present one, as a compare-and-swap. Each change has an author of
// its own, so that an answer names the change it has seen.
//
// A change whose outcome the operator never learnt may take effect at any later
// time, or never. One that was sent again with its request id counts as one
// operation, from the first sending to the answer that ended it.
package history
