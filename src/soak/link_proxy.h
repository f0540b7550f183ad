/// \file TCP proxy on loopback addresses that injects link faults.
#ifndef SNIPESHUNT_SOAK_LINK_PROXY_H
#define SNIPESHUNT_SOAK_LINK_PROXY_H

#include "core/error_type.h"
#include "core/id_type.h"
#include "http/event_loop.h"

#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipeshunt {

/// Fault of a link; a default one forwards all bytes at once.
struct LinkFault {
  Duration Delay{0};         ///< Added in each direction.
  bool HoldForward = false;  ///< Bytes of the connecting side are held.
  bool HoldBackward = false; ///< Bytes of the accepting side are held.
};

/// Forwards connections in a thread of its own. Held bytes are forwarded once
/// the fault is removed, as after a network partition. The functions may be
/// called from one other thread; except open(), they return before they have
/// taken effect.
class LinkProxy {
public:
  LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;
  ~LinkProxy();

  /// Opens a link on a free port of \p Ip and returns its number.
  Result<size_t> open(const std::string &Ip);
  /// Returns the address on which \p Link listens.
  const Address &address(size_t Link) const { return Addresses[Link]; }
  /// Sets where connections are forwarded to. Connections that are accepted
  /// earlier wait for it.
  void setTarget(size_t Link, const Address &Target);
  /// Replaces the fault of \p Link, also for open connections.
  void setFault(size_t Link, LinkFault Fault);
  /// Resets all open connections.
  void reset(size_t Link);
  /// Stops forwarding on open connections without closing them; new ones work.
  void silence(size_t Link);

private:
  class Link;

  /// Queues \p Command for the proxy's thread.
  void post(std::function<void()> Command);
  /// Runs the queued commands and forwards bytes; called every millisecond.
  void runCommands();

  std::mutex Mutex; ///< Guards `Commands`.
  std::vector<std::function<void()>> Commands;
  std::vector<Address> Addresses; ///< By link; used by the calling thread.
  EventLoop Loop;
  std::vector<std::unique_ptr<Link>> Links; ///< Used by the proxy's thread.
  Timer StepTimer;
  std::thread Thread;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_LINK_PROXY_H
