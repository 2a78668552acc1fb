package settings

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// Router holds the settings of a router, which accepts requests from callers.
type Router struct {
	Process
	Listen                string
	Controllers           []string
	CallerCertificateFile string
	CallerKeyFile         string
	DefaultTimeout        time.Duration
	MaximumBodyBytes      int
	MaximumHeaderBytes    int
	MaximumConnections    int
	MaximumInFlight       int
	HeaderTimeout         time.Duration
	StallTimeout          time.Duration
	PipelinedRequests     int
	DrainDelay            time.Duration
	HoldTimeout           time.Duration
	HoldRequests          int
	HoldBytes             int
	RetryShare            float64
	StaleAfter            time.Duration
}

// declare implements Schema.
func (router *Router) declare(set *FieldSet) {
	router.Process.declare(set, "127.0.0.1:8081")
	set.text(&router.Listen, Field{
		Name: "callers.listen", Default: "127.0.0.1:8080", Unit: "IP:port",
		Usage: "Address where callers send HTTP requests, with the path prefix /SERVICE/.",
	}, isAddress)
	set.text(&router.CallerCertificateFile, Field{
		Name: "callers.certificate-file", Unit: "path of a PEM file",
		Usage: "Certificate chain shown to callers. Empty serves plain HTTP.",
	})
	set.text(&router.CallerKeyFile, Field{
		Name: "callers.key-file", Unit: "path of a PEM file",
		Usage: "Private key of callers.certificate-file.",
	})
	set.duration(&router.DefaultTimeout, Field{
		Name: "callers.default-timeout", Default: "10s",
		Usage: "Deadline of a request whose caller states none and whose service's rules state none.",
	}, 10*time.Millisecond, time.Hour)
	set.count(&router.MaximumBodyBytes, Field{
		Name: "callers.maximum-body-bytes", Default: "8388608", Unit: "bytes",
		Usage: "Largest request body. A larger one is answered 413 and never reaches a back end.",
	}, 1, 1<<30)
	set.count(&router.MaximumHeaderBytes, Field{
		Name: "callers.maximum-header-bytes", Default: "16384", Unit: "bytes",
		Usage: "Largest request header. A larger one is answered 431.",
	}, 1024, 1<<20)
	set.count(&router.MaximumConnections, Field{
		Name: "callers.maximum-connections", Default: "8192", Unit: "connections",
		Usage: "Most open connections from callers. Further ones wait in the kernel's backlog.",
	}, 1, 1<<20)
	set.duration(&router.HeaderTimeout, Field{
		Name: "callers.header-timeout", Default: "5s",
		Usage: "Longest time in which a caller must send a whole header. Slower ones are cut off.",
	}, 100*time.Millisecond, time.Minute)
	set.duration(&router.StallTimeout, Field{
		Name: "callers.stall-timeout", Default: "30s",
		Usage: "A caller that neither sends nor takes a byte for so long is cut off.",
	}, 100*time.Millisecond, time.Hour)
	set.count(&router.PipelinedRequests, Field{
		Name: "callers.pipelined-requests", Default: "32", Unit: "requests",
		Usage: "Most requests of one connection in progress, where a caller sends more before the first is answered. Only those that may be repeated run side by side; over TLS callers use HTTP/2 instead. 1 runs them one after the other.",
	}, 1, 1024)
	set.count(&router.MaximumInFlight, Field{
		Name: "callers.maximum-in-flight", Default: "4096", Unit: "requests",
		Usage: "Most requests in progress, of all services. Further ones are answered 503 shed at once. One service may take half of them; beyond that its requests are answered 429 over-limit. Keep it below callers.maximum-connections, or callers wait in the backlog without an answer.",
	}, 1, 1<<20)
	set.duration(&router.DrainDelay, Field{
		Name: "callers.drain-delay", Default: "1s",
		Usage: "How long a planned stop goes on taking requests while /readyz says no, so that callers' balancers turn away first.",
	}, 0, time.Minute)
	router.declareHoldLimits(set)
	set.share(&router.RetryShare, Field{
		Name: "retries.share", Default: "0.1",
		Usage: "Part of a service's requests that may be sent again after a failure that is safe to repeat.",
	})
	declareControllers(set, &router.Controllers)
	set.duration(&router.StaleAfter, Field{
		Name: "routing.stale-after", Default: wire.MaxRoutingStaleness.String(),
		Usage: "After this time without a proof from the controllers that the routing data are the newest, requests are answered 503 stale-routing. The controllers rely on the upper bound to say that a change is in force everywhere.",
	}, 500*time.Millisecond, wire.MaxRoutingStaleness)
	set.check(func(report func(field, problem string)) {
		if (router.CallerCertificateFile == "") != (router.CallerKeyFile == "") {
			report("callers.key-file", "callers.certificate-file and callers.key-file go together")
		}
	})
	set.check(func(report func(field, problem string)) {
		if router.DrainDelay >= router.StopTimeout {
			report("callers.drain-delay", "must be less than stop-timeout, "+router.StopTimeout.String())
		}
	})
	router.TLS.requireTLSOffLoopback(set, "ops.listen")
	requireTLSForAddresses(set, &router.TLS, "controllers")
}

// declareHoldLimits declares the limits for requests that wait for an owner.
func (router *Router) declareHoldLimits(set *FieldSet) {
	set.duration(&router.HoldTimeout, Field{
		Name: "holding.timeout", Default: "3s",
		Usage: "Longest time that a request waits for its key to get an owner.",
	}, 0, time.Minute)
	set.count(&router.HoldRequests, Field{
		Name: "holding.requests", Default: "4096", Unit: "requests",
		Usage: "Most requests that wait for an owner at once. Further ones are answered 503 shed.",
	}, 1, 1<<20)
	set.count(&router.HoldBytes, Field{
		Name: "holding.bytes", Default: "67108864", Unit: "bytes",
		Usage: "Most memory for the bodies of requests that wait for an owner.",
	}, 1, 1<<30)
}

// declareControllers declares the list of the controllers' session addresses.
func declareControllers(set *FieldSet, target *[]string) {
	set.texts(target, Field{
		Name: "controllers", Required: true, Unit: "IP:port",
		Example: "127.0.0.1:7101,127.0.0.2:7101,127.0.0.3:7101",
		Usage:   "The session.listen addresses of the controllers. Any that answers is enough; the leader is found from it.",
	}, isAddress)
	set.check(func(report func(field, problem string)) {
		if set.byName["controllers"].isSet && len(*target) == 0 && set.byName["controllers"].valid {
			report("controllers", "at least one address is required")
		}
	})
}

// requireTLSForAddresses reports addresses that are not on loopback if TLS is off.
func requireTLSForAddresses(set *FieldSet, tls *TLS, name string) {
	set.check(func(report func(field, problem string)) {
		if tls.Enabled() {
			return
		}
		for _, address := range set.byName[name].effective() {
			if isAddress(address) == nil && !onLoopback(address) {
				report(name, address+" is not on loopback, so tls.certificate-file, tls.key-file and tls.ca-file are required")
			}
		}
	})
}
