package ops

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits bound the time and memory that a client can take from an HTTP
// listener. A field that is zero takes its value from DefaultLimits.
type Limits struct {
	// HeaderTimeout is the longest time for reading a whole header. The
	// connection of a slower client is closed.
	HeaderTimeout time.Duration
	// ReadTimeout is the longest time for reading a whole request. Negative
	// means no limit, for listeners that carry streams or limit bodies
	// themselves.
	ReadTimeout time.Duration
	// WriteTimeout is the longest time from the end of the request header to
	// the end of the response. Negative means no limit.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// HeaderBytes is the largest header; a larger one is answered 431.
	HeaderBytes int
	// BodyBytes is the largest body; a larger one is answered 413.
	BodyBytes int64
}

// DefaultLimits returns limits that suit the monitoring listener.
func DefaultLimits() Limits {
	return Limits{
		HeaderTimeout: 5 * time.Second,
		ReadTimeout:   10 * time.Second,
		WriteTimeout:  2 * time.Minute,
		IdleTimeout:   time.Minute,
		HeaderBytes:   16 << 10,
		BodyBytes:     64 << 10,
	}
}

// withDefaults fills in the fields left at zero.
func (limits Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	setDefault(&limits.HeaderTimeout, defaults.HeaderTimeout)
	setDefault(&limits.ReadTimeout, defaults.ReadTimeout)
	setDefault(&limits.WriteTimeout, defaults.WriteTimeout)
	setDefault(&limits.IdleTimeout, defaults.IdleTimeout)
	setDefault(&limits.HeaderBytes, defaults.HeaderBytes)
	setDefault(&limits.BodyBytes, defaults.BodyBytes)
	return limits
}

// setDefault assigns a default to a number left at zero.
func setDefault[T int | int64 | time.Duration](target *T, value T) {
	if *target == 0 {
		*target = value
	}
}

// NewHTTPServer returns a server that enforces limits. A nil TLS configuration
// serves plain HTTP.
func NewHTTPServer(handler http.Handler, limits Limits, tlsConfig *tls.Config, log *slog.Logger) *http.Server {
	limits = limits.withDefaults()
	return &http.Server{
		Handler:           LimitBody(limits.BodyBytes)(handler),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       max(limits.ReadTimeout, 0),
		WriteTimeout:      max(limits.WriteTimeout, 0),
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Serve serves on a listener, over TLS if the server has a TLS configuration,
// until the server is shut down.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Refusal is the response body for a request that exceeded a limit.
type Refusal struct {
	// Error is RefusedTooLarge or RefusedTooSlow.
	Error string `json:"error"`
	// LimitBytes is the limit that was exceeded, for RefusedTooLarge.
	LimitBytes int64 `json:"limit_bytes,omitempty"`
}

// Values of Refusal.Error.
const (
	RefusedTooLarge = "too-large"
	RefusedTooSlow  = "too-slow"
)

// LimitBody answers 413 to a request whose declared body is larger than maximum.
// If the body turns out larger while it is read, the handler's read fails with
// *http.MaxBytesError.
func LimitBody(maximum int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength > maximum {
				refuse(w, http.StatusRequestEntityTooLarge, Refusal{Error: RefusedTooLarge, LimitBytes: maximum})
				return
			}
			r.Body = http.MaxBytesReader(w, r.Body, maximum)
			next.ServeHTTP(w, r)
		})
	}
}

// AnswerReadError answers a request whose body could not be read: 413 if it was
// too large, 408 if it arrived too slowly, else 400.
func AnswerReadError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, Refusal{Error: RefusedTooLarge, LimitBytes: tooLarge.Limit})
	case errors.Is(err, os.ErrDeadlineExceeded):
		refuse(w, http.StatusRequestTimeout, Refusal{Error: RefusedTooSlow})
	default:
		http.Error(w, "the request body could not be read", http.StatusBadRequest)
	}
}

// refuse writes a Refusal and closes the connection, because the rest of the
// body is not read.
func refuse(w http.ResponseWriter, status int, refusal Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	// A write error means that the client is gone, so there is no one to report it to.
	_ = json.NewEncoder(w).Encode(refusal)
}
