// Package quarantine decides which requests may be sent to back ends again after back ends
// have ended while processing them (a "query of death": Google, "Site Reliability
// Engineering", chapter 22).
//
// A request is identified by a Digest of what a back end receives. It becomes a suspect when
// the first back end ends while processing it, and is cleared by the first complete answer.
// Until then it runs only where a Set, which is replicated, has granted a trial: to one
// gateway at a time, and after the third end at most MaxLateTrials times in all. Nobody can
// see which of the requests in process has ended a back end; the harmless ones are cleared by
// their trials.
//
// The package does no I/O and reads no clock: events go in, decisions come out.
package quarantine
