// Package history records the operations that operators invoke on a group of
// controllers together with their results, and checks with porcupine whether the
// history is linearizable (Herlihy and Wing 1990): whether a single register
// that applies one operation at a time could have given the same results.
//
// The register is the configuration: its revision and the author of its last
// change. A change is a compare-and-swap: it names the revision that it expects
// and is accepted only if that is the current one. Each change has a unique
// author, so that an answer identifies the last change that it reflects.
//
// A change whose outcome is unknown to the operator may take effect at any later
// time, or never. A change that is resent with its request id counts as one
// operation, from the first attempt to the answer that ends it.
package history
