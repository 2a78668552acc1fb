package settings

import "time"

// Admin holds the settings of the operators' client.
type Admin struct {
	Controllers     []string
	CertificateFile string
	KeyFile         string
	CAFile          string
	Timeout         time.Duration
	JSON            bool
	Author          string
}

// declare implements Schema.
func (admin *Admin) declare(set *FieldSet) {
	set.texts(&admin.Controllers, Field{
		Name: "rpc.controllers", Default: "127.0.0.1:7103", Unit: "IP:port",
		Usage: "The rpc.listen addresses of the controllers, tried in order.",
	}, isAddress)
	set.text(&admin.CertificateFile, Field{
		Name: "rpc.certificate-file", Unit: "path of a PEM file",
		Usage: "The operator's certificate. Empty talks without TLS, which works on loopback only.",
	})
	set.text(&admin.KeyFile, Field{
		Name: "rpc.key-file", Unit: "path of a PEM file",
		Usage: "Private key of rpc.certificate-file.",
	})
	set.text(&admin.CAFile, Field{
		Name: "rpc.ca-file", Unit: "path of a PEM file",
		Usage: "Certificate authorities that sign the controllers' certificates.",
	})
	set.duration(&admin.Timeout, Field{
		Name: "timeout", Default: "10s",
		Usage: "Longest time for one command, resends after a lost answer included.",
	}, 100*time.Millisecond, time.Hour)
	set.flag(&admin.JSON, Field{
		Name: "json", Default: "false",
		Usage: "Print answers as JSON in place of tables.",
	})
	set.text(&admin.Author, Field{
		Name: "author", Unit: "name",
		Usage: "Who makes the change; told to operators whose change lost a race. Empty takes the login name.",
	}, optional(isName))
}
