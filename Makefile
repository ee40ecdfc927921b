# Versions of the formatter and the linter.
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
REVIVE := github.com/mgechev/revive@v1.17.0

.PHONY: build demo test lint bench soak soak50 breaks fuzz policies generate

build:
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test: build
	./scripts/test.sh

lint:
	@unformatted=$$(go run $(GOFUMPT) -l .); if [ -n "$$unformatted" ]; then echo "not formatted:" $$unformatted; exit 1; fi
	go vet ./...
	go run $(REVIVE) -config revive.toml -set_exit_status ./...

bench: build
	go test -run '^$$' -bench . -benchmem ./...

# Soak test in virtual time with daemons in one process: the fixed seeds, then 60 s of
# random ones.
soak:
	go test ./fleet -run TestSoak -count=1 -v -args -soak 60s

# Soak test of real processes with injected faults; -seed 0 chooses fresh seeds.
soak50:
	go test ./soak -run TestSoak -count=1 -timeout 60m -v -args -seeds 50 -for 20s

# Mutation tests: breaks each mechanism in a copy of the tree; its test must fail.
breaks:
	go run ./scripts/breaks

# Runs each fuzz target for FUZZTIME.
FUZZTIME ?= 1m
fuzz:
	@go list ./... | while read -r package; do \
		for target in $$(go test -list '^Fuzz' "$$package" | grep '^Fuzz'); do \
			echo "$$package $$target"; \
			go test "$$package" -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) || exit 1; \
		done; \
	done

# Benchmarks the policies and writes docs/POLICIES.md with its plots.
policies:
	go test ./bench -run TestAll -timeout 60m -count=1 -args -write ../docs

# Generates code from the schema. Only changes of the schema need protoc and its two
# generators.
generate:
	protoc -I admin --go_out=. --go_opt=module=github.com/gypsumhook/gypsum \
		--connect-go_out=. --connect-go_opt=module=github.com/gypsumhook/gypsum admin/operator.proto
