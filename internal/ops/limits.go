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

// Limits bound what a sender can make an HTTP listener hold. The zero value
// of a field takes the default of DefaultLimits.
type Limits struct {
	// HeaderTimeout is the longest time for a whole header; a slower sender
	// is cut off.
	HeaderTimeout time.Duration
	// ReadTimeout is the longest time for a whole request. Negative means no
	// bound, for listeners that carry streams or bound bodies themselves.
	ReadTimeout time.Duration
	// WriteTimeout is the longest time from the end of the header to the end
	// of the answer. Negative means no bound.
	WriteTimeout time.Duration
	// IdleTimeout closes a connection that carries no request.
	IdleTimeout time.Duration
	// HeaderBytes is the largest header; a larger one is answered 431.
	HeaderBytes int
	// BodyBytes is the largest body; a larger one is answered 413.
	BodyBytes int64
}

// DefaultLimits suit listeners for monitoring.
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

// NewHTTPServer returns a server whose listener is bounded. A nil TLS
// configuration serves plain HTTP.
func NewHTTPServer(handler http.Handler, limits Limits, secure *tls.Config, log *slog.Logger) *http.Server {
	limits = limits.withDefaults()
	return &http.Server{
		Handler:           LimitBody(limits.BodyBytes)(handler),
		TLSConfig:         secure,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       max(limits.ReadTimeout, 0),
		WriteTimeout:      max(limits.WriteTimeout, 0),
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Serve serves on a listener, over TLS where the server has a configuration,
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

// Refusal is the body of an answer to a request that broke a limit.
type Refusal struct {
	// Error is a fixed word: "too-large" or "too-slow".
	Error string `json:"error"`
	// LimitBytes is the bound that was exceeded, for "too-large".
	LimitBytes int64 `json:"limit_bytes,omitempty"`
}

// Words of Refusal.Error.
const (
	RefusedTooLarge = "too-large"
	RefusedTooSlow  = "too-slow"
)

// LimitBody answers 413 to a request that declares a larger body, and fails
// the handler's read with *http.MaxBytesError where it turns out larger.
func LimitBody(most int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength > most {
				refuse(w, http.StatusRequestEntityTooLarge, Refusal{Error: RefusedTooLarge, LimitBytes: most})
				return
			}
			r.Body = http.MaxBytesReader(w, r.Body, most)
			next.ServeHTTP(w, r)
		})
	}
}

// AnswerReadError answers a request whose body could not be read: 413 where
// it was too large, 408 where it came too slowly, else 400.
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

// refuse writes a typed answer and closes the connection, as the rest of the
// body is not read.
func refuse(w http.ResponseWriter, status int, refusal Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(refusal)
}
