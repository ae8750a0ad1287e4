.PHONY: build test lint run demo lab proto

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "gofmt: $$bad"; exit 1; fi
	go vet ./...

# ROUTER_CONFIG names the dispatcher's configuration file.
run: build
	exec bin/oakthread

# A stand-in discovery, a dozen boxes and a dispatcher on loopback, for some seconds.
demo: build
	@exec bin/oaklab demo

# The laboratory's experiments, the short ones; not part of the test command.
lab: build
	bin/oaklab run kept-list --quick
	bin/oaklab run kept-size --quick
	bin/oaklab run fleet --quick
	bin/oaklab run comeback --quick
	bin/oaklab run mesh --quick
	bin/oaklab run verdicts --quick
	bin/oaklab run turns --quick

# The records of the kept list, after a change of kept.proto; needs protoc and protoc-gen-go.
proto:
	cd internal/kept/keptpb && protoc --go_out=. --go_opt=paths=source_relative kept.proto
