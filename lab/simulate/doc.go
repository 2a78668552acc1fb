// Package simulate runs the cores of all roles on virtual time with a seeded
// network, seeded disks and seeded faults, and checks the users' promises.
//
// Real are the consensus core, the control state, the coordinator with
// placement, the log of deltas, the routing table, the lease table and holder,
// and the ledger of request ids. What lies around them in the processes
// (sessions, grants, releases, holding and retrying) is driven here as it is
// there; internal/controller, internal/agent, internal/router and
// internal/subscription are the models.
//
// Each process has clocks of its own, which drift within the bounds that
// leases allow for. Messages keep their order per direction and are lost or
// held by cuts. A crash loses what was not synced, in part or as a whole.
//
// A simulation is one goroutine and an equal seed gives an equal digest. What
// a caller, an operator or a back end sees is compared with what an observer
// outside knows: the first committed entry at each index, every run of every
// request, and which back ends could act for a key at the moment that another
// one does.
//
// Deliberate defects show that the checks can fail; see Defects.
package simulate
