/// \file Limits of an instance's incoming connections.
#include "runtime/client_limit_func.h"

#include "http/descriptor_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Shares of the connections. The remaining quarter is for connections that this
// process opens, to peers, upstreams and the store.
constexpr size_t ClientDivisor = 2;
constexpr size_t PeerDivisor = 4;
ConnectionLimits limitsOf(size_t Setting, size_t Share, size_t Bytes) {
  ConnectionLimits Out;
  Out.MaxConnections = Setting > 0 ? std::min(Setting, Share) : Share;
  Out.MaxBytes = Bytes;
  return Out;
}

} // namespace

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
