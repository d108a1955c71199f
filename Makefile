# One folder for each kind of build; the compiler cache makes the second build of a file cheap.
BUILD := build
CONFIGURE := cmake -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

.PHONY: setup build run test bench format install

setup:
	@misc/install_packages.sh

build: setup
	@$(CONFIGURE) -S . -B $(BUILD)/release > /dev/null
	@cmake --build $(BUILD)/release

# The main job on embedded stand-ins; exits 0 only when every answer was right.
run: build
	@misc/run_example.sh $(BUILD)/release

# Format, linters, all tests, and the tests under sanitizers.
test: setup
	@misc/test.sh

# Benchmarks with their regression bounds.
bench: build
	@misc/bench.sh $(BUILD)/release

format: setup
	@git ls-files '*.cpp' '*.h' | xargs clang-format -i

install: build
	@cmake --install $(BUILD)/release
