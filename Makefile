# The commands of the README. Each installs missing packages, then calls meson.
BUILD = build

.PHONY: all calm-day soak setup demo check lint fuzz bench plots sanitize mutants format clean

all: setup
	@[ -f $(BUILD)/build.ninja ] || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) --quiet

setup:
	@tools/setup.sh

demo: all
	@$(BUILD)/test/scenario/runner $(CURDIR)/$(BUILD) demo/demo.lua

check: setup
	@BUILD=$(BUILD) tools/check.sh

lint: setup
	@tools/lint.sh

format:
	@clang-format -i $$(git ls-files '*.c' '*.h' | grep -v '\.pb-c\.')

# A calm day of the users' benchmark; needs their kit next to the checkout.
KIT = ../given/kit/more/system
SITE = pyv-moortack
calm-day: setup
	@[ -x $(KIT)/bin/fleetbench ] || { echo "no kit at $(KIT)"; exit 1; }
	@$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml quiet-1 \
		--why "a calm day, by make"

# Runs each fuzz target for SECONDS.
SECONDS = 120
fuzz: setup
	@[ -f build-fuzz/build.ninja ] || CC=clang meson setup build-fuzz \
		-Dfuzz=true -Db_lundef=false >/dev/null
	@ninja -C build-fuzz --quiet
	@for name in admission bills brittle budget contents events follow freshness intent lives messages parts quarantine rate_limit reach responses retries rollouts rows sse ticket \
		token warmup; do \
		mkdir -p build-fuzz/corpus/$$name; \
		build-fuzz/test/fuzz/fuzz_$$name -max_total_time=$(SECONDS) \
		-max_len=2048 -verbosity=0 -print_final_stats=1 \
		-artifact_prefix=build-fuzz/$$name- build-fuzz/corpus/$$name \
		test/fuzz/corpus/$$name || exit 1; done

# Prints the tables of the experiments (about four minutes), then the measurements
# of the daemon.
bench: all
	@$(BUILD)/bench/bench-experiment
	@for name in overhead refusal overload memory; do echo "### $$name"; \
		$(BUILD)/test/scenario/runner $(CURDIR)/$(BUILD) \
		bench/$$name.lua || exit 1; done

# Random faults under traffic over the platform's protocol, for SECONDS with each
# of the seeds in SEEDS.
SEEDS = 1 2 3
soak: all
	@for seed in $(SEEDS); do SOAK_SEED=$$seed SOAK_SECONDS=$(SECONDS) \
		$(BUILD)/test/scenario/runner $(CURDIR)/$(BUILD) \
		soak/soak.lua || exit 1; done

# Draws the plots of docs/MEASUREMENTS.md.
plots: all
	@tools/setup.sh packages-bench.txt
	@bench/plots.sh $(BUILD)

# Runs every test with the address and undefined-behaviour sanitizers.
sanitize: setup
	@[ -f build-sanitize/build.ninja ] || meson setup build-sanitize \
		-Db_sanitize=address,undefined -Db_lundef=false >/dev/null
	@ninja -C build-sanitize --quiet
	@UBSAN_OPTIONS=halt_on_error=1 meson test -C build-sanitize \
		--num-processes 4 --timeout-multiplier 3

# Checks that tests fail once the mechanism that they cover is removed.
mutants: setup
	@tools/mutants.sh

clean:
	@rm -rf $(BUILD) build-fuzz build-sanitize
