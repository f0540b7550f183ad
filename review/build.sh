#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases into target/review/. The build
# line of deploy/system.toml has to run before, whose library is linked in.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++17 -O2 -Wall -Wextra -Wno-unused-parameter
  -Wno-missing-field-initializers)
libraries=$(pkg-config --cflags --libs sigc++-3.0 libevent jsoncpp libxxhash libcrypto)
# shellcheck disable=SC2086
g++ "${flags[@]}" -I src -o target/review/platform review/support/platform.cc \
  src/standins/store_standin.cpp src/standins/kv_codec.cpp \
  src/standins/standin_func.cpp target/libsnipeshunt_lib.a \
  target/libeasylogging.a $libraries -lprometheus-cpp-core -pthread
for source in review/support/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = platform ] ||
    g++ "${flags[@]}" -o "target/review/$name" "$source" -pthread
done
