TOOL := go tool -modfile=tools/tools.mod
GENERATE := go tool -modfile=tools/generate.mod

.PHONY: build run test race smoke check measure pathcost generate

build:
	go build -o bin/gentianlever ./cmd/gentianlever

run:
	go run ./test/run

test:
	go test ./...

smoke:
	go run ./test/smoke

# Formatter and linter; fails where gofumpt would change a file.
check:
	@out=$$($(TOOL) gofumpt -l cmd internal test); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(TOOL) revive -set_exit_status -config revive.toml ./cmd/... ./internal/... ./test/...
	go vet ./...

# The race detector on the packages that share state between goroutines.
race:
	go test -race ./internal/...

# Remakes the reference page and the committed code of the messages between nodes.
generate:
	go test ./internal/documenter -run TestReferencePage -update
	$(GENERATE) buf generate

# Latency and processor time that two nodes add to a call. Run it alone.
pathcost:
	go run ./test/pathcost
