# make build | test | lint | format | demo | bench | slopes | soak | install
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: packages build test asan tsan lint format demo bench slopes soak install clean

packages:
	scripts/packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# What CI runs: every test, plain and under the sanitizers, then format and lint.
test: build
	scripts/test.sh $(BUILD)

asan: packages
	cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DFESCUESILL_SANITIZE=address,undefined >/dev/null
	cmake --build $(BUILD)-asan -j $(JOBS)

tsan: packages
	cmake -S . -B $(BUILD)-tsan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DFESCUESILL_SANITIZE=thread >/dev/null
	cmake --build $(BUILD)-tsan -j $(JOBS)

# New seeds for the random faults; ROUNDS=N. Prints each seed.
soak: build
	scripts/soak.sh $(BUILD) $(ROUNDS)

lint: build
	scripts/format.sh --check
	scripts/lint.sh $(BUILD)

format:
	scripts/format.sh

# JSON: latency that an entry adds, requests and tokens a second, memory of a stream.
bench: build
	FESCUESILL_BUILD=$(BUILD) scripts/bench_path.py

# The figures of docs/CAPACITY.md.
slopes: build
	scripts/slopes.sh $(BUILD)

# Three entry hosts, a mixed load, one entry killed; green only if nothing was lost or doubled.
demo: build
	scripts/demo.sh $(BUILD)

install: build
	cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan

# Decisions under load: every scenario and policy over seeds 1 to 8, one JSON object a line.
.PHONY: bench-decide
bench-decide: build
	for scenario in bursts skew slow-endpoint decode-stall mix saturation engine-death zone-loss stale-reports cancel-storm \
	    links-narrow mixed shift; do \
	    for policy in ours round-robin least-loaded prefix-only prefill-first; do \
	        for seed in 1 2 3 4 5 6 7 8; do \
	            $(BUILD)/fescuesill-bench --scenario $$scenario --policy $$policy --seed $$seed --json | tr -d '\n' || exit 1; \
	            echo; \
	        done; \
	    done; \
	done
	$(BUILD)/fescuesill-bench --scenario decisions --json

.PHONY: bench-cells
bench-cells: build
	for scenario in cells-even cells-uneven cells-herd cells-lossy cells-stuck cells-slow region-cut cells-full; do \
	    for policy in ours home two-choices least-delay; do \
	        for seed in 1 2 3 4 5 6 7 8; do \
	            $(BUILD)/fescuesill-bench --scenario $$scenario --policy $$policy --seed $$seed --json || exit 1; \
	        done; \
	    done; \
	done
