/// \file Loopback links that delay, hold, silence and reset connections.
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

/// What a link does to the bytes that pass.
struct LinkFault {
  Duration Delay{0};
  bool HoldForward = false;  ///< Bytes of the connecting side are held.
  bool HoldBackward = false; ///< Bytes of the accepting side are held.
};

/// Forwards connections, in a thread of its own. Held bytes pass once the fault
/// is gone, as behind a partition.
class LinkProxy {
public:
  LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;
  ~LinkProxy();

  /// Opens a link on a free port of \p Ip and gives its number.
  Result<size_t> open(const std::string &Ip);
  const Address &address(size_t Link) const { return Addresses[Link]; }
  /// Connections are accepted before, and wait.
  void setTarget(size_t Link, const Address &Target);
  void setFault(size_t Link, LinkFault Fault);
  /// Resets all open connections.
  void reset(size_t Link);
  /// Open connections pass nothing any more; new ones work.
  void silence(size_t Link);

private:
  class Link;

  void post(std::function<void()> Command);
  void runCommands();

  std::mutex Mutex;
  std::vector<std::function<void()>> Commands;
  std::vector<Address> Addresses;
  EventLoop Loop;
  std::vector<std::unique_ptr<Link>> Links; ///< Only the thread uses these.
  Timer StepTimer;
  std::thread Thread;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_LINK_PROXY_H
