package requesthistory

import (
	"fmt"
	"slices"
	"strings"
)

// Reasons that gateways give.
const (
	reasonNoConfiguration = "no-configuration"
	reasonNoInstance      = "no-instance"
	reasonNoRoom          = "no-room"
	reasonLinkFull        = "link-full"
	reasonNotOwner        = "not-owner"
	reasonNotAdmitted     = "not-admitted"
	reasonRefused         = "refused-by-back-end"
	reasonUnreachable     = "unreachable"
	reasonBroken          = "broken-off"
	reasonEnded           = "back-end-ended"
	reasonAwaitsTrial     = "awaits-trial"
	reasonHeldBack        = "held-back"
	reasonTimeout         = "timeout"
	reasonNoRoute         = "no-route"
	reasonStopping        = "gateway-stopping"
	reasonEvacuated       = "zone-evacuated"
	reasonOutdated        = "configuration-may-be-old"
	reasonRouteChanged    = "route-changed"
	reasonNoMemory        = "no-memory"
)

// explanation tells where the cause of a reason stands, the best place first,
// and what it means.
type explanation struct {
	messages []string
	meaning  string
}

var explanations = map[string]explanation{
	reasonNoConfiguration: {[]string{messageInForce, messageLeads, messageNotServed},
		"the gateway had just started and no leading controller had told it a configuration yet"},
	reasonNoInstance: {[]string{messageBackend, messageMove, messageNotServed},
		"no ready back end of the service, or no owner of the key, was known while the request could wait"},
	reasonNoRoom: {[]string{messageRefused, messageNotServed},
		"every back end that it was offered to was full for longer than its answer could wait"},
	reasonLinkFull: {[]string{messageRefused, messageNotServed},
		"its answer is a large one, and the links of the machines that it was offered to could not have sent it in time"},
	reasonNotOwner: {[]string{messageMove, messageGrant, messageRelease, messageRefused},
		"the key was on its way between owners: the gateway beside the one that was tried did not hold it"},
	reasonNotAdmitted: {[]string{messageBackend, messageRefused},
		"the back end that was tried was leaving, had ended, or was another one by then"},
	reasonRefused: {[]string{messageByBackend, messageNotServed},
		"the back end itself refused the request without running it"},
	reasonUnreachable: {[]string{messageBackend, messageNotServed},
		"no byte of it could be sent to the back end or the gateway beside it"},
	reasonBroken: {[]string{messageBroken, messageBackend, messageNotServed},
		"the exchange broke off after it was sent: it may have run"},
	reasonEnded: {[]string{messageEnded, messageNotServed},
		"the back end ended while it was at work on it: it may have run"},
	reasonAwaitsTrial: {[]string{messageEnded, messageNotServed},
		"a back end had ended while it was at work on a request like it, and no trial was granted in its time"},
	reasonHeldBack: {[]string{messageHeldBack, messageEnded, messageNotServed},
		"so many back ends had ended while they were at work on requests like it that it is not sent any more"},
	reasonTimeout: {[]string{messageSummary, messageNotServed},
		"no answer came within the request's time: it may have run"},
	reasonStopping: {[]string{messageRefused, messageNotServed},
		"the gateway that was to take it was being stopped and would have ended before the request's time was over"},
	reasonEvacuated: {[]string{messageNotServed},
		"the zones of all back ends of its service were evacuated"},
	reasonOutdated: {[]string{messageInForce, messageNotServed},
		"a gateway on its way had not had a leading controller's word for so long that its configuration might have been replaced"},
	reasonRouteChanged: {[]string{messageInForce, messageNotServed},
		"its route became one whose requests run once, while it was read beside others of its connection"},
	reasonNoMemory: {[]string{messageNotServed},
		"a gateway on its way kept as many bytes for slow readers as it may"},
	reasonNoRoute: {[]string{messageInForce, "no route"},
		"no route of the configuration in force has its host and path"},
}

// answeredMeaning explains what a back end answered itself.
const answeredMeaning = "the back end's own answer went back unchanged; its status and the tries before it are in the line"

// calledMeaning explains a back end's own failure beside which calls of its own
// went unserved. Their ids are others, so that they are candidates, not proof.
const calledMeaning = "the back end itself failed; while it ran, calls that began beside it, as its own do, were not served: see those"

// waited returns the place of the line that says that the answer waited for its turn, or
// below zero.
func (h *History) waited() int {
	return slices.IndexFunc(h.Entries, func(entry Entry) bool { return entry.Own && entry.Message == messageWaited })
}

// decide marks the decisive line and explains it.
func (h *History) decide() {
	final := h.final()
	if place := h.waited(); place >= 0 && (final < 0 || h.Entries[final].Message == messageAnswered && h.Entries[final].Status < leastFailure) {
		fields := h.Entries[place].Fields
		h.Cause = fmt.Sprintf("its answer was ready, and waited %s ms for that of request %s, which was sent before it on the same connection",
			fields["wait_ms"], strings.Trim(string(fields["behind"]), `"`))
		h.mark(place)
		return
	}
	if final < 0 {
		h.Cause = "its end is in none of these logs: its caller left, or the process that took it was killed"
		h.mark(len(h.Entries) - 1)
		return
	}
	end := &h.Entries[final]
	if end.Message == messageAnswered {
		h.Cause = answeredMeaning
		if call := h.unservedCall(final); call >= 0 {
			h.Cause = calledMeaning
			final = call
		}
		h.mark(final)
		return
	}
	known, ok := explanations[end.Reason]
	if !ok {
		h.Cause = "reason " + end.Reason
		h.mark(final)
		return
	}
	h.Cause = known.meaning
	h.mark(h.nearest(known.messages, final))
}

// unservedCall is the place of the last request of others that was not served
// while a failed run lasted, or below zero.
func (h *History) unservedCall(end int) int {
	for i := end - 1; i >= 0; i-- {
		if entry := &h.Entries[i]; !entry.Own && entry.Message == messageNotServed {
			return i
		}
	}
	return -1
}

// final is the place of the line that ends the request, or below zero.
func (h *History) final() int {
	for i, entry := range slices.Backward(h.Entries) {
		if entry.Own && (entry.Message == messageNotServed || entry.Message == messageAnswered || entry.Message == "no route") {
			return i
		}
	}
	return -1
}

// nearest returns the line with the first of the messages that there is,
// nearest in time to the end; the end itself where there is none.
func (h *History) nearest(messages []string, end int) int {
	for _, message := range messages {
		best := -1
		for i := range h.Entries {
			if h.Entries[i].Message == message && (best < 0 || h.distance(i, end) < h.distance(best, end)) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return end
}

func (h *History) distance(i, j int) int64 {
	return int64(h.Entries[i].At.Sub(h.Entries[j].At).Abs())
}

func (h *History) mark(i int) {
	if i >= 0 {
		h.Entries[i].Decisive = true
	}
}
