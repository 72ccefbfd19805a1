# Targets: build, lint, fmt, tools, test, demo, proofs, bench.
GO ?= go
BIN := bin
# What is deployed on the users' platform is built by the line of its deploy file.
DEPLOYED := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)
LINT_VERSION := v2.15.0
LINT := $(BIN)/tools/golangci-lint-$(LINT_VERSION)
# gopls renames identifiers in all packages at once.
GOPLS_VERSION := v0.23.0
GOPLS := $(BIN)/tools/gopls-$(GOPLS_VERSION)

.PHONY: all build lint fmt tools test demo bench proofs clean

all: build lint test

build:
	$(GO) build ./...
	$(GO) build -o $(BIN)/ . ./monsoonleverd ./monsoonlever-standins ./platform/monsoonlever-soak
	$(DEPLOYED)

$(LINT):
	mkdir -p $(BIN)/tools
	GOBIN=$(CURDIR)/$(BIN)/tools $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/tools/golangci-lint $(LINT)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

fmt: $(LINT)
	$(LINT) fmt

$(GOPLS):
	mkdir -p $(BIN)/tools
	GOBIN=$(CURDIR)/$(BIN)/tools $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/tools/gopls $(GOPLS)

tools: $(LINT) $(GOPLS)

test:
	bash .ci/test

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Longer property runs: make proofs CHECKS=10000 SEED=0 (0 picks a new seed).
CHECKS ?= 10000
SEED ?= 0
proofs:
	CHECKS=$(CHECKS) SEED=$(SEED) bash .ci/proofs

demo: build
	bash demo/run

clean:
	rm -rf $(BIN)
