#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into
# target/review-2, after the build line of deploy/system.toml. Needs only the
# packages of that file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
ln -sf ../snipeshuntd "$out/snipeshuntd"
modules="sigc++-3.0 libevent jsoncpp libxxhash libcrypto"
flags="-std=c++17 -O2 -Isrc -Ireview/support-2 $(pkg-config --cflags $modules)
  -DELPP_NO_DEFAULT_LOG_FILE -DELPP_DISABLE_DEFAULT_CRASH_HANDLING
  -DELPP_NO_LOG_TO_FILE -Wall -Wextra -Wno-unused-parameter
  -Wno-missing-field-initializers"
libs="target/libsnipeshunt_lib.a target/libeasylogging.a
  -lprometheus-cpp-core -ljsonrpccpp-server -ljsonrpccpp-common
  $(pkg-config --libs $modules) -pthread"
build() { g++ $flags "${@:2}" -o "$out/$1" $libs; }
runner="src/standins/runner_standin.cpp src/standins/standin_func.cpp"
store="src/standins/store_standin.cpp
  src/standins/kv_codec.cpp"
build standin-cells src/standins/cells_main.cpp $runner $store &
for case in review/[6-9] review/10; do
  [ -f "$case/case.cc" ] || continue
  build "case-$(basename "$case")" "$case/case.cc" \
    src/standins/cell_fleet.cpp src/soak/link_proxy.cpp &
done
mkdir -p "$out/8"
ln -sf ../../snipeshuntd "$out/8/snipeshuntd"
build 8/standin-cells review/8/platform.cc $runner $store &
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
