package settings

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Limits of settings that every role has.
const (
	maxGroup       = 1 << 16
	minStopTimeout = time.Second
	maxStopTimeout = 10 * time.Minute
)

// Process holds the settings that every role has.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// Group is the number of the controller group that the process belongs to.
	Group int
	// Region, Zone and Rack are the location of the process.
	Region, Zone, Rack string
	// StopTimeout limits the time of a planned stop.
	StopTimeout time.Duration

	Log Log
	Ops Ops
	TLS TLS
}

// Location returns the location of the process.
func (process *Process) Location() topology.Location {
	return topology.Location{
		Region: topology.RegionName(process.Region),
		Zone:   topology.ZoneName(process.Zone),
		Rack:   topology.RackName(process.Rack),
	}
}

// declare adds the fields to a set. The default of ops.listen depends on the role.
func (process *Process) declare(set *FieldSet, opsAddress string) {
	set.text(&process.Name, Field{
		Name: "name", Required: true, Example: "host-1",
		Usage: "Name of this process, unique in the fleet. It stands in logs, metrics and admin tables.",
	}, isName)
	set.count(&process.Group, Field{
		Name: "group", Default: "1", Unit: "number",
		Usage: "Group of controllers that this process belongs to. One group carries everything today.",
	}, 1, maxGroup)
	set.text(&process.Region, Field{
		Name: "location.region", Required: true, Example: "se-west",
		Usage: "Region in which this process runs. Replicas and owners are spread over locations.",
	}, isName)
	set.text(&process.Zone, Field{
		Name: "location.zone", Required: true, Example: "hall-1",
		Usage: "Failure domain inside the region, for example a hall.",
	}, isName)
	set.text(&process.Rack, Field{
		Name: "location.rack", Example: "rack-1",
		Usage: "Failure domain inside the zone. It may be empty.",
	}, optional(isName))
	set.duration(&process.StopTimeout, Field{
		Name: "stop-timeout", Default: "30s",
		Usage: "Longest time that a planned stop (SIGTERM) waits for requests in progress. After it the process ends with status 1.",
	}, minStopTimeout, maxStopTimeout)
	process.Log.declare(set)
	process.Ops.declare(set, opsAddress)
	process.TLS.declare(set)
}

// Log holds the settings of the log on standard error.
type Log struct {
	Level  string
	Format string
}

// declare adds the fields to a set.
func (log *Log) declare(set *FieldSet) {
	set.text(&log.Level, Field{
		Name: "log.level", Default: "info", Reloadable: true, Unit: "debug, info, warn or error",
		Usage: "Least level that is logged. Lines are written for changes of state only; rates are in /metrics.",
	}, oneOf("debug", "info", "warn", "error"))
	set.text(&log.Format, Field{
		Name: "log.format", Default: "text", Unit: "text or json",
		Usage: "Format of log lines on standard error.",
	}, oneOf("text", "json"))
}

// Ops holds the settings of the monitoring listener.
type Ops struct {
	Listen string
	Pprof  bool
}

// declare adds the fields to a set.
func (ops *Ops) declare(set *FieldSet, address string) {
	set.text(&ops.Listen, Field{
		Name: "ops.listen", Default: address, Unit: "IP:port",
		Usage: "Address of /metrics, /healthz and /readyz.",
	}, isAddress)
	set.flag(&ops.Pprof, Field{
		Name: "ops.pprof", Default: "false",
		Usage: "Serve /debug/pprof on ops.listen. Profiles show internals, so leave it off on shared networks.",
	})
}

// TLS holds the settings of certificates. TLS is off if CertificateFile is empty.
type TLS struct {
	CertificateFile string
	KeyFile         string
	CAFile          string
	OperatorCAFile  string
	PeerNames       []string
	ReloadInterval  time.Duration
}

// Enabled reports whether internal links and the operators' listener use TLS.
func (tls *TLS) Enabled() bool { return tls.CertificateFile != "" }

// declare adds the fields to a set.
func (tls *TLS) declare(set *FieldSet) {
	set.text(&tls.CertificateFile, Field{
		Name: "tls.certificate-file", Unit: "path of a PEM file",
		Usage: "Certificate chain of this process, for links to other processes of the fleet and for operators. Empty turns TLS off, which is allowed on loopback addresses only.",
	})
	set.text(&tls.KeyFile, Field{
		Name: "tls.key-file", Unit: "path of a PEM file",
		Usage: "Private key of tls.certificate-file.",
	})
	set.text(&tls.CAFile, Field{
		Name: "tls.ca-file", Unit: "path of a PEM file",
		Usage: "Certificate authorities that sign the fleet's certificates. Both sides of an internal link must show a certificate signed by one of them.",
	})
	set.text(&tls.OperatorCAFile, Field{
		Name: "tls.operator-ca-file", Unit: "path of a PEM file",
		Usage: "Certificate authorities that sign operators' certificates. Empty takes tls.ca-file.",
	})
	set.texts(&tls.PeerNames, Field{
		Name: "tls.peer-names", Unit: "DNS names",
		Usage: "DNS names of which the certificate of a connecting process must carry one. Empty accepts every certificate that tls.ca-file signed.",
	}, notEmpty)
	set.duration(&tls.ReloadInterval, Field{
		Name: "tls.reload-interval", Default: "1m",
		Usage: "How often the certificate files are read again. SIGHUP reads them at once. A file that can't be used leaves the previous certificate in force.",
	}, time.Second, 24*time.Hour)
	set.check(tls.checkComplete)
}

// checkComplete reports a problem if some but not all of the certificate files are
// given.
func (tls *TLS) checkComplete(report func(field, problem string)) {
	files := []struct{ field, path string }{
		{"tls.certificate-file", tls.CertificateFile},
		{"tls.key-file", tls.KeyFile},
		{"tls.ca-file", tls.CAFile},
	}
	count := 0
	for _, file := range files {
		if file.path != "" {
			count++
		}
	}
	if count == 0 || count == len(files) {
		return
	}
	for _, file := range files {
		if file.path != "" {
			report(file.field, "tls.certificate-file, tls.key-file and tls.ca-file go together; not all are given")
		}
	}
}

// requireTLSOffLoopback reports each listener that is not on loopback if TLS is off.
func (tls *TLS) requireTLSOffLoopback(set *FieldSet, listeners ...string) {
	set.check(func(report func(field, problem string)) {
		if tls.Enabled() {
			return
		}
		for _, name := range listeners {
			field := set.byName[name]
			values := field.effective()
			if !field.valid || len(values) != 1 || onLoopback(values[0]) {
				continue
			}
			report(name, fmt.Sprintf("%s is not on loopback, so tls.certificate-file, tls.key-file and tls.ca-file are required", values[0]))
		}
	})
}

// Common returns the part of a role's settings that every role has.
func (process *Process) Common() *Process { return process }
