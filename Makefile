.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "gofmt: $$bad"; exit 1; fi
	go vet ./...

# ROUTER_CONFIG names the dispatcher's configuration file.
run: build
	exec bin/oakthread
