# "make test" runs the same checks as CI and installs missing tools.

STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
GOBIN := $(shell go env GOPATH)/bin

# The race detector itself crashes in this package on arm64 (ThreadSanitizer: CHECK failed), which runs without it there.
# On other machines it crashes at times when many tests of the package run in one process, so each runs in its own.
OWN_PROCESS := /internal/follow$$
ifneq (,$(filter aarch64 arm64,$(shell uname -m)))
WITHOUT_RACE := /internal/follow$$
else
WITHOUT_RACE := ^$$
endif

.PHONY: test tools fmt vet staticcheck build unit model bench slopes generate

test: tools fmt vet staticcheck build unit model

tools:
	@command -v spin >/dev/null && command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev; }
	@test -x $(GOBIN)/staticcheck || go install $(STATICCHECK)

fmt:
	@files=$$(gofmt -l cmd internal pkg platform test); if [ -n "$$files" ]; then echo "not gofmt-clean: $$files"; exit 1; fi

vet:
	go vet ./...

staticcheck:
	$(GOBIN)/staticcheck ./...

build:
	go build -o bin/turmericsail ./cmd/turmericsail

# Runs all tests, those outside platform/soak, test/clients and WITHOUT_RACE with the race detector. Failures of the tests listed in
# KNOWN-RED.txt are printed and ignored. The end-to-end tests run separately, after the other packages,
# because the property tests use all processors.
unit:
	@go build -o bin/knownred ./internal/tools/knownred
	@{ go test -race -count=1 -json $$(go list ./... | grep -v -e /test/e2e -e /test/clients -e /platform/soak | grep -v -E '$(WITHOUT_RACE)|$(OWN_PROCESS)'); \
		for p in $$(go list ./... | grep -E '$(OWN_PROCESS)' | grep -v -E '$(WITHOUT_RACE)'); do \
			go test -race -c -o bin/own.test $$p || echo '{"Action":"fail","Package":"'$$p'"}'; \
			dir=$$(go list -f '{{.Dir}}' $$p); for t in $$(cd $$dir && $(CURDIR)/bin/own.test -test.list .); do \
				(cd $$dir && go tool test2json -p $$p $(CURDIR)/bin/own.test -test.v=test2json -test.run "^$$t\$$"); done; done; \
		plain=$$(go list ./... | grep -E '$(WITHOUT_RACE)'); [ -z "$$plain" ] || go test -count=1 -json $$plain; \
		go test -race -count=1 -json ./test/e2e; go test -count=1 -json ./test/clients; go test -count=1 -json ./platform/soak; } | bin/knownred KNOWN-RED.txt

# Checks every model in spec/, and that its mutants are rejected.
model:
	@for check in spec/*/check; do [ ! -x "$$check" ] || "$$check" || exit 1; done

# Measures how costs scale with load and size and writes plots to docs/slopes; takes about three minutes.
slopes:
	go run ./internal/tools/slopes

# Regenerates the protobuf code. Requires protoc and protoc-gen-go, which the build does not need.
generate:
	protoc --go_out=. --go_opt=module=github.com/turmericsail/turmericsail $(shell find pkg -name '*.proto')
