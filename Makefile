# Builds zinniapost.  "make deps" installs missing Debian packages.

SANITIZE ?= 0
CC = gcc
BUILD = build
OPT = -O2
ifeq ($(SANITIZE),1)
BUILD = build-asan
OPT = -O1 -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
endif
CFLAGS = -std=gnu11 -g $(OPT) -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wformat=2 -Werror
CPPFLAGS = -Isrc -DDSFMT_MEXP=19937 -D_GNU_SOURCE
LDLIBS = -lev -lprotobuf-c -lmicrohttpd -lcurl -ljson-c -lxxhash -lsodium -lz -lm -lpthread \
	-l:libdSFMT-19937.a

PACKAGES = base task wire site quota steer once ticket ledger follow roster peer front forward gate trace
PROGRAMS = zp-entry zp-control zpctl zp-backend zp-load
PLATFORM_PROGRAMS = zp-edge zp-core
DIR_zp-entry = entry
DIR_zp-control = control
DIR_zpctl = ctl
DIR_zp-backend = backend
DIR_zp-load = load
LIBS_zp-load = -lgsl -lgslcblas
LIBS_zp-backend = -lgsl -lgslcblas

# Object files of one folder below src.
objs = $(patsubst src/%.c,$(BUILD)/%.o,$(wildcard src/$(1)/*.c))

# Folders of programs whose objects are also in the library, for the tests;
# main.o is not.
PARTS = entry control ctl backend load
part_objs = $(filter-out %/main.o,$(call objs,$(1)))
LIB_OBJS = $(foreach p,$(PACKAGES),$(call objs,$(p))) $(foreach p,$(PARTS),$(call part_objs,$(p)))
LIB = $(BUILD)/libzinniapost.a
PLATFORM_OBJS = $(patsubst platform/%.c,$(BUILD)/platform/%.o,$(wildcard platform/*.c))
PLATFORM_LIB = $(BUILD)/libplatform.a
BUILT_PROGRAMS = $(patsubst %,$(BUILD)/%,$(PLATFORM_PROGRAMS)) $(foreach p,$(PROGRAMS),$(if $(wildcard src/$(DIR_$(p))/*.c),$(BUILD)/$(p)))
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test-*.c))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench-*.c))

.PHONY: all deps check check-built lint format demo bench model fuzz scenarios report clean proto

all: $(BUILT_PROGRAMS)

deps:
	@scripts/deps

$(BUILD)/%.o: src/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/wire/%.pb-c.o: CFLAGS += -Wno-error

$(LIB): $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -Iplatform $(CFLAGS) -MMD -MP -c $< -o $@

# The adapter to the users' platform.  Code below src must not depend on it.
$(PLATFORM_LIB): $(filter-out %-main.o,$(PLATFORM_OBJS))
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/zp-edge: $(BUILD)/platform/edge-main.o $(PLATFORM_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/zp-core: $(BUILD)/platform/core-main.o $(PLATFORM_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Objects that a program links in addition to the library.
own_objs = $(if $(filter $(PARTS),$(1)),$(BUILD)/$(1)/main.o,$(call objs,$(1)))

define program_rule
$$(BUILD)/$(1): $$(call own_objs,$$(DIR_$(1))) $$(LIB)
	$$(CC) $$(CFLAGS) -o $$@ $$(call own_objs,$$(DIR_$(1))) $$(LIB) $$(LDLIBS) $$(LIBS_$(1))
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_rule,$(p))))

$(BUILD)/tests/%: tests/%.c $(PLATFORM_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -Iplatform $(CFLAGS) -MMD -MP -o $@ $< $(PLATFORM_LIB) $(LIB) $(LDLIBS) -lgsl -lgslcblas -lcunit

$(BUILD)/tests/test-soak-message: tests/test-soak-message.c soak/message.c soak/message.h $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -o $@ $< soak/message.c $(LIB) $(LDLIBS) -lcunit

# The proxy of the fault soak.
$(BUILD)/zp-proxy: soak/proxy.c $(LIB)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -o $@ $< $(LIB) $(LDLIBS)

# The control daemon with injected faults of the clock and the disk.
$(BUILD)/zp-control-soak: soak/shim.c $(call objs,control) $(LIB)
	$(CC) $(CPPFLAGS) $(CFLAGS) -o $@ $^ $(LDLIBS) -ldl

# The same for the platform, for tests/test-platform-disks.c.
$(BUILD)/zp-core-soak: soak/shim.c $(BUILD)/platform/core-main.o $(PLATFORM_LIB) $(LIB)
	$(CC) $(CPPFLAGS) $(CFLAGS) -o $@ $^ $(LDLIBS) -ldl

.PHONY: soak soak-programs
soak-programs: all $(BUILD)/zp-proxy $(BUILD)/zp-control-soak

# SEEDS: seeds of the plans to run.  Without it, the seeds of soak/seeds.txt
# and then random ones for SOAK_SECONDS.
soak: deps
	$(MAKE) --no-print-directory -j$$(nproc) soak-programs
	@soak/soak $(SEEDS)

# The servers and callers of the platform soak.
$(BUILD)/zp-soak-server: $(foreach m,answer fault session,soak/$(m).c soak/$(m).h)
$(BUILD)/zp-soak-%: soak/%.c soak/message.c soak/message.h $(LIB)
	$(CC) $(CPPFLAGS) $(CFLAGS) -o $@ $(filter %.c,$^) $(LIB) $(LDLIBS)

# The faults of the disks of zp-core, loaded before the C library.
$(BUILD)/zp-soak-shim.so: soak/shim.c
	$(CC) $(CPPFLAGS) $(CFLAGS) -fPIC -shared -o $@ $< -ldl

# The programs of target/ as processes, with faults.  SEEDS: seeds of the plans
# to run, 1 without it.
.PHONY: soak-platform
soak-platform: deps target
	$(MAKE) --no-print-directory -j$$(nproc) $(BUILD)/zp-soak-server $(BUILD)/zp-soak-caller $(BUILD)/zp-soak-shim.so
	@soak/soak-platform $(or $(SEEDS),1)

$(BUILD)/bench/%: bench/%.c $(LIB)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -o $@ $< $(LIB) $(LDLIBS)

check: deps
	$(MAKE) --no-print-directory -j$$(nproc) SANITIZE=$(SANITIZE) check-built

check-built: all $(TESTS) $(BUILD)/zp-core-soak
	@scripts/run-tests $(BUILD)

# The programs that the users' platform builds (deploy/system.toml), in
# target/.
.PHONY: target
target:
	$(MAKE) --no-print-directory -j8 BUILD=target target/zp-edge target/zp-core

lint: deps
	@scripts/lint

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' | grep -v 'pb-c' | xargs clang-format -i

demo: deps
	$(MAKE) --no-print-directory -j$$(nproc) all
	@scripts/demo $(DEPLOYMENT)

scenarios: deps
	$(MAKE) --no-print-directory -j$$(nproc) all
	@scripts/scenarios

bench: deps
	$(MAKE) --no-print-directory -j$$(nproc) all bench-programs
	@scripts/bench

.PHONY: bench-programs
bench-programs: $(BENCHES)

report:
	@scripts/report

model: deps
	@scripts/model

fuzz: deps
	@scripts/fuzz

# Man pages and bash completion, generated from --help of the programs.
.PHONY: man completion
man: deps
	$(MAKE) --no-print-directory -j$$(nproc) all
	@BUILD=$(BUILD) scripts/man

completion: man
	@BUILD=$(BUILD) scripts/completion
	@BUILD=$(BUILD) scripts/check-help

# Regenerates the protobuf-c sources.  They are committed, so that the build
# needs no generator.
proto:
	cd src/wire && protoc-c --c_out=. *.proto

clean:
	rm -rf build build-asan target

-include $(PLATFORM_OBJS:.o=.d)
-include $(LIB_OBJS:.o=.d) $(foreach p,$(PROGRAMS),$(patsubst %.o,%.d,$(call objs,$(DIR_$(p)))))
-include $(TESTS:=.d) $(BENCHES:=.d)
