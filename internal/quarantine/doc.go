// Package quarantine decides which requests may be sent to back ends again after back ends
// have ended while they were at work on them (a "query of death": Google, "Site Reliability
// Engineering", chapter 22).
//
// A request is named by a Digest of what a back end is given. Its suspicion begins with the
// first end of a back end under it and ends with the first whole answer. While it lasts the
// request runs only where a Set, which is replicated, has granted a trial: to one gateway at a
// time, and after the third end at most MostLateTrials times in all. Which of the requests at
// work has ended a back end nobody can see; the innocent ones are cleared by their trials.
//
// All of it is pure: events go in, decisions come out.
package quarantine
