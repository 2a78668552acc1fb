// Package ops holds what every role needs to be operated: the log, the
// listener for monitoring (/metrics, /healthz, /readyz and, where switched on,
// /debug/pprof), bounds for HTTP listeners, and the process's signals: SIGTERM
// and SIGINT begin a planned stop, SIGHUP rereads settings.
package ops
