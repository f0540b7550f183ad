/// \file Stand-in for the store of the users' platform.
#ifndef SNIPESHUNT_STANDINS_STORE_STANDIN_H
#define SNIPESHUNT_STANDINS_STORE_STANDIN_H

#include "standins/standin_func.h"

#include <map>
#include <string>
#include <vector>

namespace snipeshunt {

/// Serves the platform's key-value calls: items with revisions, leases and
/// long-polling watches. Keeps everything in memory.
class StoreStandin {
public:
  explicit StoreStandin(EventLoop &Loop);

  /// Listens on \p Endpoint and prints the address. Returns false on failure.
  bool listen(const Address &Endpoint);
  /// Writes an item, at a new revision. \p Lease is the id of the lease whose
  /// end removes it, or 0.
  void put(const std::string &Key, const std::string &Value,
           uint64_t Lease = 0);

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0; ///< Of the last write.
    uint64_t Created = 0;  ///< Revision of the first write.
    uint64_t Lease = 0;    ///< Id of its lease, or 0.
  };
  struct Lease {
    Duration Lifetime{0}; ///< Time from a renewal to the end.
    SteadyTime End;
  };
  /// A watch request that is held until there are events.
  struct Watch {
    RequestId Request;
    std::string Prefix;  ///< Of the watched keys.
    uint64_t After = 0;  ///< Only later revisions are reported.
    SteadyTime Deadline; ///< Answered at this time without events.
  };

  void receive(const HttpRequest &Request);
  HttpReply range(const HttpRequest &Request) const;
  /// Writes and removes items if all expected revisions match; else answers
  /// 412.
  HttpReply write(const Json::Value &Body);
  HttpReply grant(const Json::Value &Body);
  HttpReply keepAlive(uint64_t Id);
  /// Returns an item in its JSON form.
  Json::Value describe(const std::string &Key, const Item &I) const;
  /// Returns the items with \p Prefix that were written or removed after
  /// revision \p After.
  Json::Value eventsAfter(const std::string &Prefix, uint64_t After) const;
  void remove(const std::string &Key);
  /// Ends expired leases and answers the watches that are due. Called every 5
  /// ms.
  void advance();

  HttpServer Server;
  Timer AdvanceTimer;
  std::map<std::string, Item> Items;
  std::map<std::string, uint64_t> Removed; ///< Key to revision of its removal.
  std::map<uint64_t, Lease> Leases;
  std::vector<Watch> Watches;
  uint64_t Revision = 1; ///< Of the last change.
  uint64_t NextLease = 1;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_STORE_STANDIN_H
