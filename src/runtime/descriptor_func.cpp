/// \file Shares of the process's descriptor limit.
#include "runtime/descriptor_func.h"

#include <sys/resource.h>

#include <algorithm>

namespace snipeshunt {

namespace {

// Descriptors for files, at least those that the platform reserves for them. A
// process with few descriptors keeps a quarter.
constexpr size_t FileDescriptors = 200;
// Used if the process has no limit.
constexpr size_t ManyDescriptors = 1 << 20;
// Shares of the connections. The remaining quarter is for connections that this
// process opens, to peers, upstreams and the store.
constexpr size_t ClientDivisor = 2;
constexpr size_t PeerDivisor = 4;
// Share beyond which no caller is accepted, in sixteenths. The rest is for what
// is opened between two counts.
constexpr size_t CallerShare = 15;

ConnectionLimits limitsOf(size_t Setting, size_t Share, size_t Bytes) {
  ConnectionLimits Out;
  Out.MaxConnections = Setting > 0 ? std::min(Setting, Share) : Share;
  Out.MaxBytes = Bytes;
  return Out;
}

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

ConnectionLimits clientConnectionLimits(const FleetLimits &Settings) {
  return limitsOf(Settings.MaxConnections,
                  connectionDescriptors() / ClientDivisor,
                  Settings.MaxBufferedBytes);
}

ConnectionLimits peerConnectionLimits(const FleetLimits &Settings) {
  return limitsOf(Settings.MaxPeerConnections,
                  connectionDescriptors() / PeerDivisor,
                  Settings.MaxBufferedBytes / 2);
}

} // namespace snipeshunt
