package settings

import "time"

// Agent holds the settings of an agent, which runs next to one back end.
type Agent struct {
	Process
	Controllers   []string
	DataFolder    string
	RequestListen string
	// RequestAdvertise is empty if RequestListen is advertised.
	RequestAdvertise   string
	BackendAddress     string
	MaximumBodyBytes   int
	MaximumHeaderBytes int
	HeaderTimeout      time.Duration
	DialTimeout        time.Duration
	WarmConnections    int
	LoadInterval       time.Duration
}

// declare implements Schema.
func (agent *Agent) declare(set *FieldSet) {
	agent.Process.declare(set, "127.0.0.1:7203")
	declareControllers(set, &agent.Controllers)
	set.text(&agent.DataFolder, Field{
		Name: "data-folder", Required: true, Example: "/var/lib/quartzdock/agent", Unit: "path of a folder",
		Usage: "Folder for the record of non-repeatable requests. After it was lost, resends of such requests from before the loss are refused.",
	}, notEmpty)
	set.text(&agent.RequestListen, Field{
		Name: "requests.listen", Default: "127.0.0.1:7201", Unit: "IP:port",
		Usage: "Address where routers send requests and other agents hand over the record of a moving shard. Operators give this address to admin when they create the back end.",
	}, isAddress)
	set.text(&agent.RequestAdvertise, Field{
		Name: "requests.advertise", Unit: "IP:port",
		Usage: "Address by which operators created the back end and routers reach this agent. Empty takes requests.listen; give it where that is not reachable from other machines.",
	}, optional(isAddress))
	set.count(&agent.MaximumBodyBytes, Field{
		Name: "requests.maximum-body-bytes", Default: "8388608", Unit: "bytes",
		Usage: "Largest request body that is taken from a router.",
	}, 1, 1<<30)
	set.count(&agent.MaximumHeaderBytes, Field{
		Name: "requests.maximum-header-bytes", Default: "32768", Unit: "bytes",
		Usage: "Largest request header that is taken from a router.",
	}, 1024, 1<<20)
	set.duration(&agent.HeaderTimeout, Field{
		Name: "requests.header-timeout", Default: "5s",
		Usage: "Longest time in which a router must send a whole header.",
	}, 100*time.Millisecond, time.Minute)
	set.text(&agent.BackendAddress, Field{
		Name: "backend.address", Required: true, Example: "127.0.0.1:9000", Unit: "IP:port",
		Usage: "Address of the back end beside this agent.",
	}, isAddress)
	set.duration(&agent.DialTimeout, Field{
		Name: "backend.dial-timeout", Default: "1s",
		Usage: "Longest time for a new connection to the back end.",
	}, 10*time.Millisecond, time.Minute)
	set.count(&agent.WarmConnections, Field{
		Name: "backend.warm-connections", Default: "4", Unit: "connections",
		Usage: "Connections to the back end that are opened ahead and kept, as a new one costs time.",
	}, 0, 10000)
	set.duration(&agent.LoadInterval, Field{
		Name: "backend.load-interval", Default: "1s",
		Usage: "How often the back end's own load endpoint is read. Its word is a hint only.",
	}, 100*time.Millisecond, time.Hour)
	agent.TLS.requireTLSOffLoopback(set, "requests.listen", "ops.listen")
	requireTLSForAddresses(set, &agent.TLS, "controllers")
	set.check(func(report func(field, problem string)) {
		if agent.BackendAddress != "" && agent.BackendAddress == agent.RequestListen {
			report("backend.address", "is the agent's own requests.listen")
		}
	})
}
