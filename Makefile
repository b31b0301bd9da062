# What there is to do here. .ci/run does what a landing must pass.

.PHONY: build test race lint fuzz run clean

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt is wanted for: $$unformatted" >&2; exit 1; fi
	go vet ./...

# A short search beside the seeds that every test run takes.
fuzz:
	go test ./pgwire -fuzz FuzzStatement -fuzztime 30s
	go test ./pgwire -fuzz FuzzAnswer -fuzztime 30s

# One front, as told by EDGE_CONFIG=file.json; docs/example.json shows the form.
run: build
	exec bin/dapplerouter

clean:
	rm -rf bin
