// Package integration holds the integration tests: whole fleets of real
// processes behind fault proxies, under load, with every promise checked from
// the ledgers of callers and back ends after each fault.
//
// A Rig is a fleet under load that several scenarios share. A scenario causes
// faults, waits on conditions (never on a time alone) and heals; the rig then
// waits until every key is answered through every router and checks the ledgers
// of the fleet's whole life.
package integration
