// Package quarantine decides which requests may be sent to back ends again after back ends have
// crashed while processing them (a "query of death": Google, "Site Reliability Engineering",
// chapter 22).
//
// A request is identified by a Digest of what a back end receives. It becomes a suspect when
// the first back end crashes while processing it, and is cleared by the first complete
// response. Until then it runs only if a Set, which is replicated, has granted a trial: to one
// gateway at a time, and after the third crash at most MaxLateTrials times in all. It is not
// known which of the requests in process caused a crash; the harmless ones are cleared by their
// trials.
//
// The package does no I/O and reads no clock: events go in, decisions come out.
package quarantine
