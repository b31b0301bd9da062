# What there is to do here. .ci/run does what a landing must pass.

.PHONY: build test race lint fuzz run clean soak stale-soak fleet-soak roll-soak roll-walk rig-soak fleet-bench scale

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
	go tool -modfile=tools/go.mod golangci-lint run ./...
	go tool staticcheck ./...

# A short search beside the seeds that every test run takes.
fuzz:
	go test ./pgwire -fuzz FuzzStatement -fuzztime 30s
	go test ./pgwire -fuzz FuzzQueryResult -fuzztime 30s

# 20,000 runs of the fleet under random faults in virtual time; about half an hour on 6 cores.
fleet-soak:
	FLEET_SEEDS=20000 go test ./lab/fleetsim -run RandomFaults -timeout 3h

# 10,000 runs of rollouts under random faults in virtual time, and every pair of faults over two publishes; about a quarter of an hour each.
roll-soak:
	ROLL_SEEDS=10000 go test ./lab/proxysim -run RandomFaults -timeout 3h

roll-walk:
	ROLL_WALK=all go test ./lab/proxysim -run EveryPair -timeout 3h

# Every script of the rig with 200 seeds; hours.
rig-soak: build
	bin/routertest process --quiet --seeds 200 lab/scripts/*.sexp

# 200 lives of a front that is stopped under trouble; some minutes. SOAK_FIRST=N begins at that seed.
soak:
	SOAK_SEEDS=200 go test ./cmd/dapplerouter -run SoakOfShutdowns -v -timeout 1h

# 200 lives of a front whose groups change their primaries, before servers that don't check staleness; some minutes. SOAK_FIRST as above.
stale-soak:
	SOAK_SEEDS=200 go test ./cmd/dapplerouter -run SoakOfPrimaryChanges -v -parallel 8 -timeout 1h

# What a fleet costs at rest, and how long nobody holds a duty.
fleet-bench:
	go test ./lab/fleetsim ./lab/proxysim -run XXX -bench . -benchtime 1x

# What a fleet of 540 fronts before 650 databases costs, over loopback: some minutes, 2 to 3 cores, 5 GiB.
scale: build
	bin/routertest capacity --fronts 540 --databases 650 --zones 8 --duration 60s

# One front, as told by EDGE_CONFIG=file.json; docs/example.json shows the form.
run: build
	exec bin/dapplerouter

clean:
	rm -rf bin
