package gateway

import "errors"

// What is wrong with a heartbeat that is refused. It may come from another writer: it
// names no back end to use, and ends none.
var (
	ErrUnreadable   = errors.New("cannot be read")
	ErrMalformed    = errors.New("is not what a back end says")
	ErrTooLarge     = errors.New("too large")
	ErrOtherService = errors.New("not the service beside this gateway")
)

// refusalReasons are the words of metrics and logs.
var refusalReasons = []struct {
	err  error
	word string
}{
	{ErrUnreadable, "unreadable"},
	{ErrMalformed, "malformed"},
	{ErrTooLarge, "too-large"},
	{ErrOtherService, "other-service"},
}

// refusalReason is what is wrong with a heartbeat, in a word.
func refusalReason(err error) string {
	for _, known := range refusalReasons {
		if errors.Is(err, known.err) {
			return known.word
		}
	}
	return "keys" // a KeyReportError
}

// RefusedHeartbeat counts and logs a heartbeat, or a word of leaving, that was refused. ID
// is what it was sent for.
func (g *Gateway) RefusedHeartbeat(id string, err error) {
	why := refusalReason(err)
	g.metrics.refused.WithLabelValues(why).Inc()
	const mostOfID = 64
	g.config.Log.Warn("heartbeat refused", "id", id[:min(mostOfID, len(id))], "reason", why, "error", err)
}
