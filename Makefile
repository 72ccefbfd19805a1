# Targets: build, lint, test, demo, fuzz, proofs, bench.
GO ?= go
BIN := bin
LINT := $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: all build lint fmt test demo bench proofs clean

all: build lint test

build:
	$(GO) build ./...
	$(GO) build -o $(BIN)/ . ./monsoonleverd ./monsoonlever-standins

lint:
	$(LINT) fmt --diff
	$(LINT) run ./...

fmt:
	$(LINT) fmt

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
	$(BIN)/monsoonlever demo

clean:
	rm -rf $(BIN)
