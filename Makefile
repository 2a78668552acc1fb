.PHONY: build test lint
build:
	go build -o bin/ ./cmd/...
lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
test:
	go test ./...

# Needs protoc; the generated code is committed, so that no build needs it.
.PHONY: generate
generate:
	go build -o bin/generate/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/bin/generate:$$PATH" protoc --proto_path=api \
		--go_out=api --go_opt=paths=source_relative \
		--connect-go_out=api --connect-go_opt=paths=source_relative \
		api/quartzdock/v1/admin.proto
