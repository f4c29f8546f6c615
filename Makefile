# The README's commands. Each installs what is missing, then calls meson.
BUILD = build

.PHONY: all setup demo check lint fuzz bench sanitize format clean

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

clean:
	@rm -rf $(BUILD) build-fuzz build-sanitize
