# Start with `make demo` and `make test`.
BIN := bin
TOOLS := $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/turmericgap-tools
LINT_VERSION := v2.15.0
LINT := $(TOOLS)/golangci-lint
# The newest version that builds with this Go. It renames across packages: gopls rename -w FILE:LINE:COLUMN NAME.
GOPLS_VERSION := v0.23.0

.PHONY: build demo platform-demo soak test fmt check lint tools fuzz

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	./script/demo.sh

# Runs four entry processes against stand-ins of the users' platform, and kills, freezes and disconnects them.
platform-demo:
	go test -count=1 -v -run TestSoak ./soak -args -seeds 1 -seconds 20 -seed 7

# Runs the soak test with new seeds. Add a failing seed as a case to soak/soak_test.go.
SOAK_SEEDS := 10
soak:
	go test -count=1 -v -timeout 30m -run TestSoak ./soak -args -seed $$(date +%s) -seeds $(SOAK_SEEDS) -logs $(CURDIR)/run/soak

test: check build
	go test -race -count=1 $$(go list ./... | grep -v -e /policy$$ -e /dispatch$$ -e /configuration$$ -e /owner$$ -e /crowd$$)
	@# The race detector may crash in synctest bubbles on several processors (docs/incidents/0010). dispatch, configuration and
	@# owner are therefore tested with the race detector on one processor, and without it on all, including the tests with the
	@# constraint !race.
	go test -race -count=1 -cpu 1 ./dispatch ./configuration ./owner
	go test -count=1 ./dispatch ./configuration ./owner
	@# policy runs in a single goroutine, so the race detector would only slow down its long replays.
	go test -count=1 ./policy
	@# crowd measures processes, so nothing else may run beside it.
	go test -count=1 ./crowd
	./script/knownred.sh

# Runs every fuzz target in turn with a fixed number of inputs. Not part of test.
FUZZ_COUNT := 2000x
fuzz:
	@grep -rl --include=*_test.go '^func Fuzz' . | while read -r file; do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$file); do \
			echo "$$name in $$(dirname $$file)"; \
			go test -run '^$$' -fuzz "^$$name$$" -fuzztime $(FUZZ_COUNT) -parallel 2 $$(dirname $$file) || exit 1; \
		done; done

check: tools
	@out=$$(go tool gofumpt -l . ); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	$(LINT) run ./...
	./script/comments.sh

fmt: tools
	go tool gofumpt -w .
	go tool goimports -w -local turmericgap .

tools:
	@if ! $(LINT) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)"; then \
		mkdir -p $(TOOLS) && GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION); fi
	@if ! $(TOOLS)/gopls version 2>/dev/null | grep -q "$(GOPLS_VERSION)"; then \
		mkdir -p $(TOOLS) && GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION); fi
