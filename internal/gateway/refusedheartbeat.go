package gateway

import "errors"

// Reasons to refuse a heartbeat. A refused heartbeat may come from another sender: it neither
// registers a back end nor ends one.
var (
	ErrUnreadable   = errors.New("cannot be read")
	ErrMalformed    = errors.New("is not what a back end says")
	ErrTooLarge     = errors.New("too large")
	ErrOtherService = errors.New("not the service beside this gateway")
)

// heartbeatRefusalReasons maps errors to the reasons in metrics and logs.
var heartbeatRefusalReasons = []struct {
	err    error
	reason string
}{
	{ErrUnreadable, "unreadable"},
	{ErrMalformed, "malformed"},
	{ErrTooLarge, "too-large"},
	{ErrOtherService, "other-service"},
}

// heartbeatRefusalReason returns the reason of a refusal for metrics and logs.
func heartbeatRefusalReason(err error) string {
	for _, known := range heartbeatRefusalReasons {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return "keys" // a KeyReportError
}

// RefusedHeartbeat counts and logs a heartbeat or deregistration that was refused. ID is the
// id that it was sent for.
func (g *Gateway) RefusedHeartbeat(id string, err error) {
	reason := heartbeatRefusalReason(err)
	g.metrics.heartbeatsRefused.WithLabelValues(reason).Inc()
	const maxLoggedID = 64
	g.config.Log.Warn("heartbeat refused", "id", id[:min(maxLoggedID, len(id))], "reason", reason, "error", err)
}
