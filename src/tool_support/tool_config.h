/// \file Reading and printing what concerns the configuration.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_CONFIG_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_CONFIG_H

#include "configuration/etcd_type.h"
#include "core/error_type.h"
#include "tool_support/tool_type.h"

#include <json/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// What one instance says of its configuration.
struct ConfigurationStatus {
  Address Endpoint;
  bool Reachable = false;
  Revision Number;       ///< In force.
  int64_t InForceMs = 0; ///< For how long.
  bool Watching = false; ///< Watches the service for its data centre.
  Revision RejectedNumber;
  std::string Rejected; ///< Why a newer document is not in force.
};

/// The whole file, or standard input for `-`.
Result<std::string> readToolFile(const std::string &Name);

/// The present time as RFC 3339 text.
std::string currentTimeText();

/// Names the change that came first; \p CurrentText is its document.
Error conflictError(std::string_view CurrentText);

/// The changes of the history, oldest first.
std::string formatHistory(std::vector<EtcdValue> Records, bool AsJson);

/// Addresses of an answer to `GET /v1/instances` that have not left.
std::vector<Address> presentInstances(const Json::Value &Body);
/// Reads an answer to `GET /v1/configuration`; null if there was none.
ConfigurationStatus readConfigurationStatus(const Address &Endpoint,
                                            const Json::Value &Body);
std::string
formatConfigurationStatus(const std::vector<ConfigurationStatus> &Rows,
                          bool AsJson);
/// Whether all have the same revision in force and none rejects a newer one.
bool haveSameRevision(const std::vector<ConfigurationStatus> &Rows);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_CONFIG_H
