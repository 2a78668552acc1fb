package requesthistory

import (
	"fmt"
	"slices"
	"strings"
)

// Values of the field reason in the gateways' log lines.
const (
	reasonNoConfiguration = "no-configuration"
	reasonNoInstance      = "no-instance"
	reasonNoRoom          = "no-room"
	reasonLinkFull        = "link-full"
	reasonNotOwner        = "not-owner"
	reasonNotAdmitted     = "not-admitted"
	reasonRefused         = "refused-by-back-end"
	reasonUnreachable     = "unreachable"
	reasonExchangeBroken  = "broken-off"
	reasonBackendEnded    = "back-end-ended"
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

// explanation explains a reason. Messages are those of the lines that show its cause,
// the most telling one first.
type explanation struct {
	messages []string
	meaning  string
}

var explanations = map[string]explanation{
	reasonNoConfiguration: {[]string{messageInForce, messageLeadershipBegan, messageNotServed},
		"the gateway had just started and no leading controller had told it a configuration yet"},
	reasonNoInstance: {[]string{messageBackend, messageOwnerChange, messageNotServed},
		"no ready back end of the service, or no owner of the key, was known while the request could wait"},
	reasonNoRoom: {[]string{messageRefused, messageNotServed},
		"every back end that it was offered to was full for longer than its answer could wait"},
	reasonLinkFull: {[]string{messageRefused, messageNotServed},
		"its answer is large, and the network links of the machines that it was offered to could not have sent it in time"},
	reasonNotOwner: {[]string{messageOwnerChange, messageGrant, messageRelease, messageRefused},
		"the key was moving between owners: the gateway of the back end that was tried did not hold it"},
	reasonNotAdmitted: {[]string{messageBackend, messageRefused},
		"the back end that was tried was draining, had ended, or had been replaced by another one"},
	reasonRefused: {[]string{messageRefusedByBackend, messageNotServed},
		"the back end itself refused the request without running it"},
	reasonUnreachable: {[]string{messageBackend, messageNotServed},
		"no byte of it could be sent to the back end or to its gateway"},
	reasonExchangeBroken: {[]string{messageExchangeBroken, messageBackend, messageNotServed},
		"the exchange broke off after it was sent: it may have run"},
	reasonBackendEnded: {[]string{messageBackendEnded, messageNotServed},
		"the back end ended while it processed the request: it may have run"},
	reasonAwaitsTrial: {[]string{messageBackendEnded, messageNotServed},
		"a back end had ended while it processed a similar request, and no trial was granted within the time of this one"},
	reasonHeldBack: {[]string{messageHeldBack, messageBackendEnded, messageNotServed},
		"so many back ends had ended while they processed similar requests that it is no longer sent"},
	reasonTimeout: {[]string{messageBackendSummary, messageNotServed},
		"no answer came within the request's time: it may have run"},
	reasonStopping: {[]string{messageRefused, messageNotServed},
		"the gateway that was to take it was being stopped and would have ended before the request's time was over"},
	reasonEvacuated: {[]string{messageNotServed},
		"the zones of all back ends of its service were evacuated"},
	reasonOutdated: {[]string{messageInForce, messageNotServed},
		"a gateway on its path had not heard from a leading controller for so long that its configuration might have been superseded"},
	reasonRouteChanged: {[]string{messageInForce, messageNotServed},
		"its route became one whose requests must not run twice, while it was read concurrently with others of its connection"},
	reasonNoMemory: {[]string{messageNotServed},
		"a gateway on its path had as many bytes of bodies in memory as it may"},
	reasonNoRoute: {[]string{messageInForce, "no route"},
		"no route of the configuration in force has its host and path"},
}

// answeredExplanation explains a request that a back end answered.
const answeredExplanation = "the back end's own answer was returned unchanged; its status and the tries before it are in the line"

// nestedCallExplanation explains a failure of a back end during which calls that it may
// have made itself were not served. These calls have request ids of their own, so they
// are likely causes, not proven ones.
const nestedCallExplanation = "the back end itself failed; while it ran the request, calls through its gateway, as its own calls are, were not served: see those"

// waitedIndex returns the index of the line which says that the answer waited for an
// earlier one on its connection, or -1.
func (h *History) waitedIndex() int {
	return slices.IndexFunc(h.Entries, func(entry Entry) bool { return entry.HasRequestID && entry.Message == messageWaited })
}

// determineCause marks the decisive line and sets Cause.
func (h *History) determineCause() {
	final := h.finalIndex()
	if waited := h.waitedIndex(); waited >= 0 && (final < 0 || h.Entries[final].Message == messageAnswered && h.Entries[final].Status < minFailureStatus) {
		fields := h.Entries[waited].Fields
		h.Cause = fmt.Sprintf("its answer was ready, and waited %s ms for that of request %s, which was sent before it on the same connection",
			fields["wait_ms"], strings.Trim(string(fields["behind"]), `"`))
		h.markDecisive(waited)
		return
	}
	if final < 0 {
		h.Cause = "none of these logs has its end: its caller disconnected, or the process that accepted it was killed"
		h.markDecisive(len(h.Entries) - 1)
		return
	}
	end := &h.Entries[final]
	if end.Message == messageAnswered {
		h.Cause = answeredExplanation
		if call := h.unservedCallIndex(final); call >= 0 {
			h.Cause = nestedCallExplanation
			final = call
		}
		h.markDecisive(final)
		return
	}
	known, ok := explanations[end.Reason]
	if !ok {
		h.Cause = "reason " + end.Reason
		h.markDecisive(final)
		return
	}
	h.Cause = known.meaning
	h.markDecisive(h.nearestIndex(known.messages, final))
}

// unservedCallIndex returns the index of the last line before end about another request
// that was not served, or -1. A history has such lines only from the time of a failed
// run; see isRelevant.
func (h *History) unservedCallIndex(end int) int {
	for i := end - 1; i >= 0; i-- {
		if entry := &h.Entries[i]; !entry.HasRequestID && entry.Message == messageNotServed {
			return i
		}
	}
	return -1
}

// finalIndex returns the index of the line that ends the request, or -1.
func (h *History) finalIndex() int {
	for i, entry := range slices.Backward(h.Entries) {
		if entry.HasRequestID && (entry.Message == messageNotServed || entry.Message == messageAnswered || entry.Message == "no route") {
			return i
		}
	}
	return -1
}

// nearestIndex returns the index of the line that is nearest in time to the one at end,
// among those with the first of the messages that occurs. If none occurs, it returns
// end.
func (h *History) nearestIndex(messages []string, end int) int {
	for _, message := range messages {
		best := -1
		for i := range h.Entries {
			if h.Entries[i].Message == message && (best < 0 || h.timeDistance(i, end) < h.timeDistance(best, end)) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return end
}

// timeDistance returns the time between two lines.
func (h *History) timeDistance(i, j int) int64 {
	return int64(h.Entries[i].At.Sub(h.Entries[j].At).Abs())
}

func (h *History) markDecisive(i int) {
	if i >= 0 {
		h.Entries[i].Decisive = true
	}
}
