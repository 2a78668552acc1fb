// Package ops has the operational parts that all roles share: logging, the
// monitoring listener (/metrics, /healthz, /readyz and, if enabled,
// /debug/pprof), limits for HTTP listeners, and signal handling. SIGTERM and
// SIGINT begin a planned stop, SIGHUP reloads the settings.
package ops
