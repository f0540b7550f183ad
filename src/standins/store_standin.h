/// \file A stand-in for the store of the users' platform.
#ifndef SNIPESHUNT_STANDINS_STORE_STANDIN_H
#define SNIPESHUNT_STANDINS_STORE_STANDIN_H

#include "standins/standin_func.h"

#include <map>
#include <string>
#include <vector>

namespace snipeshunt {

/// Items with revisions, leases and waiting watches, by the platform's calls.
class StoreStandin {
public:
  explicit StoreStandin(EventLoop &Loop);

  /// Listens and prints the address. False on failure.
  bool listen(const Address &Endpoint);
  void put(const std::string &Key, const std::string &Value,
           uint64_t Lease = 0);

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
  };
  struct Lease {
    Duration Lifetime{0};
    SteadyTime End;
  };
  struct Watch {
    RequestId Request;
    std::string Prefix;
    uint64_t After = 0;
    SteadyTime Deadline;
  };

  void receive(const HttpRequest &Request);
  HttpReply range(const HttpRequest &Request) const;
  HttpReply write(const Json::Value &Body);
  HttpReply grant(const Json::Value &Body);
  HttpReply keepAlive(uint64_t Id);
  Json::Value describe(const std::string &Key, const Item &I) const;
  Json::Value eventsAfter(const std::string &Prefix, uint64_t After) const;
  void remove(const std::string &Key);
  void advance();

  HttpServer Server;
  Timer AdvanceTimer;
  std::map<std::string, Item> Items;
  std::map<std::string, uint64_t> Removed; ///< By revision of the removal.
  std::map<uint64_t, Lease> Leases;
  std::vector<Watch> Watches;
  uint64_t Revision = 1;
  uint64_t NextLease = 1;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_STORE_STANDIN_H
