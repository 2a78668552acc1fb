// Package admin implements the command line for operators: one command for each
// call of the RPC schema (api/quartzdock/v1/admin.proto), with output as tables for
// people and as JSON for programs.
//
// Changes use optimistic concurrency control: a command first reads the
// configuration's revision and requires it to be unchanged, unless
// --expected-revision names the revision that the operator has seen. All retries
// of a command use the same request id, so that a change is not made twice if its
// answer is lost. If the outcome remains unknown, the command prints the id, with
// which it can be repeated later (--request-id).
package admin
