/// \file The process's descriptor limit.
#include "http/descriptor_func.h"

#include <sys/resource.h>

#include <algorithm>

namespace snipeshunt {

namespace {

// Descriptors for files, at least those that the platform reserves for them. A
// process with few descriptors keeps a quarter.
constexpr size_t FileDescriptors = 200;
// Used if the process has no limit.
constexpr size_t ManyDescriptors = 1 << 20;
// Share beyond which no caller is accepted, in sixteenths. The rest is for what
// is opened between two counts.
constexpr size_t CallerShare = 15;

} // namespace

size_t connectionDescriptors() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur > ManyDescriptors)
    return ManyDescriptors;
  size_t Count = Limit.rlim_cur;
  return Count - std::min(FileDescriptors, Count / 4);
}

size_t callerDescriptors() {
  return connectionDescriptors() * CallerShare / 16;
}

} // namespace snipeshunt
