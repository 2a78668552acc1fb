package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// peerHandler handles the requests that other gateways forward to the local back end.
func (g *Gateway) peerHandler(w http.ResponseWriter, r *http.Request) {
	g.activePeers.Add(1)
	defer g.activePeers.Add(-1)
	g.closeWhileStopping(w, r)
	if r.Header.Get(fieldKnownVersion) != "" {
		g.serveRelayedState(w, r)
		return
	}
	if r.Header.Get(fieldReportsCrashes) != "" {
		g.receiveCrashes(w, r)
		return
	}
	if r.Header.Get(fieldTakesToken) != "" || r.Header.Get(fieldReturnsToken) != "" {
		g.serveToken(w, r)
		return
	}
	request, ok := g.decodeForward(r)
	if !ok {
		http.Error(w, "not from a gateway", http.StatusBadRequest)
		return
	}
	result, err := g.readAndServe(w, r, request)
	if err != nil {
		http.Error(w, "request body not read", http.StatusBadRequest)
		return
	}
	g.held.add(len(result.Body))
	defer g.held.add(-len(result.Body))
	body, result := g.beginAnswer(r.Context(), request.Deadline, result)
	defer body.end()
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	header[fieldOutcome] = []string{string(result.Outcome)}
	header[fieldLoad] = []string{formatLoad(result.Load)}
	if result.Reason != reasonNone {
		header[fieldReason] = []string{string(result.Reason)}
	}
	if result.Sent {
		header[fieldSent] = []string{"1"}
	}
	if result.RequestsRunning > 0 {
		header[fieldRequestsRunning] = []string{strconv.Itoa(result.RequestsRunning)}
	}
	if result.Load.admitsAfter > 0 {
		header[fieldAdmitsAfter] = []string{milliseconds(result.Load.admitsAfter)}
	}
	if result.RetryAfter > 0 {
		header[fieldRetryAfter] = []string{milliseconds(result.RetryAfter)}
	}
	status := result.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	writeResponseHeader(w, status, len(result.Body))
	if body.write(r.Context(), w, result.Body) {
		body.delivered(result.linkReservation)
	}
}

// readAndServe reads the body of a request of another gateway and runs the attempt. It returns an
// error if the body could not be read.
func (g *Gateway) readAndServe(w http.ResponseWriter, r *http.Request, request *forwardRequest) (*forwardResult, error) {
	body, err := readRequestBody(w, r, g.peerBodies, longestForwardedBody(g.views.load()), request.Deadline)
	full := (*bodybudget.FullError)(nil)
	switch {
	case errors.As(err, &full):
		refusal := notRun(reasonNoMemory)
		refusal.RetryAfter = full.RetryAfter
		return refusal, nil
	case errors.Is(err, errBodyTooLarge):
		return notRun(reasonNoMemory), nil
	case err != nil:
		return nil, err
	}
	defer body.release()
	request.Body = body.content
	return g.servePeer(r.Context(), request), nil
}

// longestForwardedBody returns the length in bytes of the longest body that is taken from another
// gateway, whose configuration may be another one.
func longestForwardedBody(v *view) int64 {
	if v.table == nil {
		return defaultMaxBody
	}
	return max(maxBodyBytes(v), defaultMaxBody)
}

// servePeer runs an attempt for another gateway if there is memory for the response.
func (g *Gateway) servePeer(ctx context.Context, request *forwardRequest) *forwardResult {
	if g.held.full() {
		return notRun(reasonNoMemory)
	}
	return g.egress.serve(ctx, request)
}

// writeResponseHeader writes the header of a response whose body has the given length.
func writeResponseHeader(w http.ResponseWriter, status, length int) {
	header := w.Header()
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevent content sniffing
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
	w.WriteHeader(status)
}

// decodeForward decodes what encodeForward wrote, apart from the body.
func (g *Gateway) decodeForward(r *http.Request) (*forwardRequest, bool) {
	names := &g.config.Headers
	remaining, ok := parseMilliseconds(r.Header.Get(names.Deadline))
	due, okDue := parseMilliseconds(r.Header.Get(fieldDue))
	target, okTarget := parseMilliseconds(r.Header.Get(fieldTarget))
	priority, err := strconv.Atoi(r.Header.Get(fieldPriority))
	instance := r.Header.Get(fieldInstance)
	if !ok || !okDue || !okTarget || err != nil || instance == "" {
		return nil, false
	}
	now := steady.Reading()
	request := &forwardRequest{
		Method:   r.Method,
		URI:      r.RequestURI,
		Host:     r.Host,
		ID:       r.Header.Get(names.RequestID),
		Service:  r.Header.Get(fieldService),
		Instance: instance,
		Priority: priority,
		Transfer: r.Header.Get(fieldTransfer) != "",
		Target:   target,
		Due:      now.Add(due),
		Deadline: now.Add(remaining),
	}
	if text := r.Header.Get(fieldTrial); text != "" {
		if request.Trial, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, false
		}
	}
	request.Limit = g.decodeLimit(r.Header)
	request.Header = forwardable(r.Header)
	if v := g.views.load(); v.table != nil {
		if service := v.table.Service(request.Service); service != nil && service.Keyed {
			request.Key, request.HasKey = parseKey(r.Header.Get(names.Key))
		}
	}
	return request, true
}
