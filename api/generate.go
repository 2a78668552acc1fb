// Package api holds the schema of operators' calls and the code generated from
// it, which is committed. After a change to quartzdock/v1/admin.proto run
// "go generate ./api" with protoc 3.21.12 (Debian: protobuf-compiler,
// libprotobuf-dev) and the two plugins of go.mod's tool section on the path:
//
//	GOBIN=$(mktemp -d) go install tool
//
//go:generate protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative quartzdock/v1/admin.proto
package api
