// Package admin is the operators' command line: one command for each call of
// the RPC schema (api/quartzdock/v1/admin.proto), with tables for people and
// JSON for programs.
//
// A command that changes something reads the configuration's revision first
// and expects it to be unchanged, unless --expected-revision says which
// revision the operator has seen. It carries one request id through all its
// resends, so that an answer lost on the way does not make the change twice;
// where the outcome stays unknown the id is printed for a later resend with
// --request-id.
package admin
