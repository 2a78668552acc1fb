// Package hollow measures how the control plane grows with its load, on fleets
// larger than one machine could run whole.
//
// A hollow node is an agent or a router without its traffic: it holds a real
// session with real controllers over TCP (internal/subscription), a real lease
// and grants (internal/ownership) and real routing tables (internal/routing),
// takes shards over and gives them up as the routing data says, and reports
// load; but it opens no listener and carries no request. Kubernetes names the
// same device "hollow nodes" in its tool kubemark.
//
// The tool starts real controller processes and a few worker processes that
// hold many nodes each, agents and routers apart, so that the processor time
// and memory of each role can be read from the kernel per process. Each ladder
// repeats one measurement at several sizes and fits a straight line, whose
// slope goes into docs/CAPACITY.md. Beside the figures, each fleet is checked
// against what must always hold: one owner per shard, no revision that goes
// back, and every subscriber at the last revision.
//
// Nodes of one worker share equal routing tables, as otherwise a thousand
// copies would not fit one machine. The memory and processor time of one node
// with a table of its own are measured apart (ladder "table").
package hollow
