#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3,
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="sigc++-3.0 libevent jsoncpp libxxhash libcrypto"
# The project's own stand-in for the store and the runners.
g++ -std=c++17 -O2 -Isrc $(pkg-config --cflags $packages) \
  -DELPP_NO_DEFAULT_LOG_FILE -DELPP_DISABLE_DEFAULT_CRASH_HANDLING \
  -DELPP_NO_LOG_TO_FILE \
  src/standins/cells_main.cpp src/standins/runner_standin.cpp \
  src/standins/store_standin.cpp src/standins/standin_func.cpp \
  target/libsnipeshunt_lib.a target/libeasylogging.a \
  $(pkg-config --libs $packages) -lpthread -o "$out/standin-cells"
for driver in review/support-3/*.cc; do
  name=$(basename "$driver" .cc)
  [ "$name" = harness ] && continue
  g++ -std=c++17 -O2 -Wall -Wextra "$driver" review/support-3/harness.cc \
    -lpthread -o "$out/$name"
done
