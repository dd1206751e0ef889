BIN := bin/cicadadale

.PHONY: build test demo lint fmt generate soak bench clean

build:
	go build -o $(BIN) ./cmd/cicadadale

# SKIP names tests that are left out, as a regular expression; CI leaves out those of KNOWN-RED.txt. The tests of hostile check the
# memory of processes, and run when the other packages have ended.
test:
	go test $(if $(SKIP),-skip '$(SKIP)') $$(go list ./... | grep -v '/hostile$$')
	go test $(if $(SKIP),-skip '$(SKIP)') ./hostile

demo: build
	$(BIN) demo

fmt:
	gofmt -l -w $$(git ls-files '*.go')

lint:
	golangci-lint run ./...

# Needs buf, protoc-gen-go, protoc-gen-go-grpc and protoc-gen-go-drpc; the generated code is committed. The stubs of
# the deployments need none of them.
generate:
	buf generate --template api/buf.gen.callers.yaml --path api/dispatcher.proto --path api/configuration.proto
	buf generate schemas --template api/buf.gen.options.yaml --path schemas/cicadadale
	buf generate --template api/buf.gen.peer.yaml --path api/peer.proto
	go run ./cmd/cicadadale schema generate schemas/glashaus.proto --out schemas/glashaus
	go run ./cmd/cicadadale schema generate schemas/wakala.proto --out schemas/wakala

soak: build
	$(BIN) soak --seed 1 --duration 60s --json

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin
