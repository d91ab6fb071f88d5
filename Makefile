# ebonypier: see README.md. `make demo` and `make check` also install the
# packages that they need.

CC ?= gcc
CXX ?= g++
B ?= build
PKGS := apr-1 libzmq libmicrohttpd jansson msgpack libxxhash libsodium \
	libcurl gnutls
WARN := -Wall -Wextra -Werror -Wdeclaration-after-statement -Wvla \
	-Wstrict-prototypes -Wmissing-prototypes -Wshadow
OPT ?= -O2 -g
SAN ?=
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -largtable2 \
	-lhttp_parser -lz
CFLAGS = -std=gnu11 $(OPT) $(SAN) $(WARN) -D_GNU_SOURCE -Isrc -Iplatform $(PKG_CFLAGS)
CXXFLAGS = -std=gnu++17 -O1 -g $(SAN) -Wall -Wextra -Werror -D_GNU_SOURCE \
	-Isrc -Iplatform -Itests $(PKG_CFLAGS)
LDLIBS = $(PKG_LIBS) -lpthread -lm

PROGRAMS := ebonypierd ebonypier
LIB_SRC := $(filter-out $(PROGRAMS:%=src/%.c),$(wildcard src/*.c))
LIB_OBJ := $(LIB_SRC:src/%.c=$(B)/src/%.o)
LIB := $(B)/libebonypier.a
# The test daemon, in which a mechanism can be switched off.
TEST_DAEMON := $(B)/ebonypierd-test
TEST_DAEMON_OBJ := $(LIB_SRC:src/%.c=$(B)/test-src/%.o) \
	$(B)/test-src/ebonypierd.o
# The daemon with the adapter to the users' platform.
SITE := $(B)/ebonypier-site
SITE_OBJ := $(patsubst platform/%.c,$(B)/platform/%.o,$(wildcard platform/*.c))
TEST_SITE := $(B)/ebonypier-site-test
STANDINS := $(patsubst standins/%.c,$(B)/standins/%,$(wildcard standins/*.c))
BENCHES := $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/*.c))
TEST_HELP := $(B)/tests/harness.o $(B)/tests/history.o $(B)/tests/world.o \
	$(B)/tests/site.o
# The adapter without its main(), for tests.
PF_OBJ := $(filter-out $(B)/platform/ebonypier-site.o,$(SITE_OBJ))
TESTS := $(patsubst tests/%.cc,$(B)/tests/%,$(wildcard tests/test_*.cc) \
	$(wildcard tests/it_*.cc))
C_FILES := $(wildcard src/*.c src/*.h standins/*.c standins/*.h bench/*.c \
	bench/*.h platform/*.c platform/*.h)
CC_FILES := $(wildcard tests/*.cc tests/*.h)

.PHONY: all deps site demo check bench soak soak-pairs format format-check lint unit clean \
	charts
.SECONDARY:

all: $(PROGRAMS:%=$(B)/%) $(SITE) $(STANDINS) $(BENCHES)

deps:
	@scripts/deps.sh

site: deps
	@$(MAKE) --no-print-directory -j $(SITE)

demo: deps
	@$(MAKE) --no-print-directory -j all
	@scripts/demo.sh $(B)

check: deps
	@$(MAKE) --no-print-directory format-check
	@$(MAKE) --no-print-directory -j10 lint
	@$(MAKE) --no-print-directory -j10 all $(TESTS) $(TEST_DAEMON) $(TEST_SITE)
	@$(MAKE) --no-print-directory unit
	@scripts/check_model.sh $(B) >$(B)/log/model.log 2>&1 || \
		{ cat $(B)/log/model.log; exit 1; }

bench: deps
	@$(MAKE) --no-print-directory -j all
	@scripts/bench.sh $(B)

# SEED, SEEDS, DURATION (seconds) and MACHINES select the run.
soak: deps
	@$(MAKE) --no-print-directory -j all $(B)/tests/it_soak
	@EBONYPIER_BUILD=$(B) SEED=$${SEED:-1} SEEDS=$${SEEDS:-1} \
		DURATION=$${DURATION:-20} $(B)/tests/it_soak

# Runs pairs of faults on the stand-in platform; SEED and DURATION (seconds)
# select the run.
soak-pairs: deps
	@$(MAKE) --no-print-directory -j all $(B)/tests/it_pairs
	@scripts/soak.sh $(B)

unit: all $(TESTS) $(TEST_DAEMON) $(TEST_SITE)
	@scripts/run_tests.sh $(B) $(TESTS)

format:
	clang-format -i $(C_FILES) $(CC_FILES)

# The embedded charts must equal charts/: with a stale copy, every request with
# an idempotency key waited forever.
format-check:
	@mkdir -p $(B)
	scripts/embed_charts.sh charts $(B)/charts.c
	cmp $(B)/charts.c src/eb_charts_data.c
	scripts/check_names.sh
	clang-format --dry-run -Werror $(C_FILES) $(CC_FILES)

lint: $(patsubst %,$(B)/lint/%.ok,$(filter %.c,$(C_FILES)))
	cppcheck -q --std=c11 --error-exitcode=1 --inline-suppr \
		--enable=warning,performance,portability -j 10 \
		--suppressions-list=.cppcheck-suppressions -Isrc -Iplatform \
		$(filter %.c,$(C_FILES))

$(B)/lint/%.ok: % .clang-tidy $(wildcard src/*.h)
	@mkdir -p $(@D)
	@clang-tidy --quiet --warnings-as-errors='*' $< -- -std=gnu11 \
		-D_GNU_SOURCE -Isrc -Iplatform $(PKG_CFLAGS) 2>$@.log || \
		{ cat $@.log; exit 1; }
	@touch $@

# Embeds the texts of the state charts. The result is committed, so that the
# build does not run the generator.
charts:
	scripts/embed_charts.sh charts src/eb_charts_data.c

$(B)/src/%.o: src/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/test-src/%.o: src/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DEB_TEST_SWITCHES -MMD -MP -c $< -o $@

$(B)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(SITE): $(SITE_OBJ) $(LIB)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(TEST_DAEMON): $(TEST_DAEMON_OBJ)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(TEST_SITE): $(SITE_OBJ) $(LIB_SRC:src/%.c=$(B)/test-src/%.o)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/%: $(B)/src/%.o $(LIB)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(B)/standins/%: standins/%.c $(LIB) $(wildcard standins/*.h)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Istandins -o $@ $< $(LIB) $(LDLIBS)

$(B)/bench/%: bench/%.c $(LIB) $(wildcard bench/*.h)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Ibench -o $@ $< $(LIB) $(LDLIBS)

$(TEST_HELP): $(B)/tests/%.o: tests/%.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(B)/tests/test_%: tests/test_%.cc $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -o $@ $< $(LIB) -lgtest -lgtest_main \
		-lrapidcheck $(LDLIBS)

$(B)/tests/test_pf_%: tests/test_pf_%.cc $(PF_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -o $@ $< $(PF_OBJ) $(LIB) -lgtest \
		-lgtest_main $(LDLIBS)

$(B)/tests/it_%: tests/it_%.cc $(TEST_HELP) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -o $@ $< $(TEST_HELP) $(LIB) -lgtest \
		-lgtest_main -lrapidcheck $(LDLIBS)

clean:
	rm -rf $(B)

-include $(wildcard $(B)/src/*.d $(B)/test-src/*.d $(B)/tests/*.d \
	$(B)/platform/*.d)
