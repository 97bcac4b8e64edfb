# Entry points for people; CMake does the work.
BUILD ?= build

.PHONY: packages build run test unit format lint clean

packages:
	tools/installpackages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

run: build
	$(BUILD)/mimosahollow serve --settings examples/single.toml

test: packages
	tools/runtests.sh

unit:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)
	ctest --test-dir $(BUILD) --output-on-failure -j 6

format:
	git ls-files '*.cpp' '*.h' | grep -v '^src/generated/' | xargs clang-format -i

lint:
	tools/lint.sh $(BUILD)

clean:
	rm -rf build build-*
