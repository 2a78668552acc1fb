// Package soak runs the real programs of quartzdock, with the adapter to the
// users' platform, as processes of one machine against the stand-in of that
// platform, and strikes them with faults drawn from a seed: processes are killed,
// stopped (also in series, many at once), paused and started anew, disks are lost, controllers are
// replaced one after the other, back ends crash, drain, deregister, take grants late, send answers
// twice, close their listener while they live, and have their next life at their address, and many
// large bodies come at once. Faults overlap and come twice.
//
// While it runs, callers and back ends check what the platform's pages promise:
// one owner of a key and fences that rise (at each grant, and from outside by what all
// back ends tell that they did), no run that a planned stop cuts off, at
// most one run of what must not repeat, "not run" that is true, whole answers to
// their own callers, and configurations that were acknowledged and stay.
package soak
