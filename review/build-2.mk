# Builds the programs of the cases in review/ with the flags of the Makefile.
include Makefile

CASES_2 := $(patsubst review/%/case.cc,target/review-2/case-%,\
	$(wildcard $(foreach n,6 7 8 9 10,review/$(n)/case.cc)))

cases-2: $(CASES_2)

target/review-2/case-%: review/%/case.cc review/common-2.h \
		target/tests/site.o target/tests/harness.o \
		target/libebonypier.a
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -o $@ $< target/tests/site.o \
		target/tests/harness.o target/libebonypier.a $(LDLIBS)
