.PHONY: build test lint run demo lab proto sites

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go run ./internal/knownfailures -race -count=1

# The linters of .golangci.yml. The program is a tool of tools/go.mod, so that the product's own dependencies stay as they are.
lint: bin/golangci-lint
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "gofmt: $$bad"; exit 1; fi
	go vet ./...
	bin/golangci-lint run ./...

bin/golangci-lint: tools/go.mod tools/go.sum
	go build -C tools -o ../$@ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# ROUTER_CONFIG names the dispatcher's configuration file.
run: build
	exec bin/dispatcher

# A stand-in discovery, a dozen boxes and a dispatcher on loopback, for some seconds.
demo: build
	@exec bin/testbed demo

# Two deployments unlike the platform's own, laid from the operators' site files by the recipes in deploy/sites, for the
# bench. KIT names the operators' kit; nothing of it is kept in the repository.
KIT ?= ../given/kit
sites: deploy/sites/quarry.toml deploy/sites/orchard.toml

deploy/sites/quarry.toml: deploy/sites/quarry.sed $(KIT)/sites/derby-planning.toml
	sed -f $^ > $@ && install -m 644 $(addprefix $(KIT)/sites/,real.json wire.json unlock.txt) $(@D)

deploy/sites/orchard.toml: deploy/sites/orchard.sed $(KIT)/more/mass/other/joburg-render.toml
	sed -f $^ > $@ && install -m 644 $(addprefix $(KIT)/more/mass/other/,real.json wire.json unlock.txt) $(@D)

# The laboratory's experiments, the short ones; not part of the test command.
lab: build
	bin/testbed run kept-list --quick
	bin/testbed run kept-size --quick
	bin/testbed run fleet --quick
	bin/testbed run comeback --quick
	bin/testbed run mesh --quick
	bin/testbed run verdicts --quick
	bin/testbed run turns --quick
	bin/testbed run capacity --quick

# The records of the kept list, after a change of kept.proto; needs protoc and protoc-gen-go.
proto:
	cd internal/endpointcache/keptpb && protoc --go_out=. --go_opt=paths=source_relative kept.proto
