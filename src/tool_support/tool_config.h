/// \file Parsing and formatting for the subcommand `config`.
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

/// The configuration status that one instance reports.
struct ConfigurationStatus {
  Address Endpoint;        ///< Of the instance.
  bool Reachable = false;  ///< False: no answer; the rest is not set.
  Revision Number;         ///< Revision in force.
  int64_t InForceMs = 0;   ///< Time for which it has been in force, in ms.
  bool Watching = false;   ///< Watches the service for its data centre.
  Revision RejectedNumber; ///< Revision of the rejected newer document, if any.
  std::string Rejected;    ///< Why that document was rejected; empty if none.
};

/// Reads a whole file, or standard input if \p Name is `-`.
Result<std::string> readToolFile(const std::string &Name);

/// Returns the current time as RFC 3339 text in UTC.
std::string currentTimeText();

/// Returns the error for a change that lost against a concurrent one. The
/// message has the id, author and time of that change, which are read from
/// \p CurrentText, the document now in the store.
Error conflictError(std::string_view CurrentText);

/// Formats the records of the change history, oldest first. Records that can't
/// be parsed are skipped.
std::string formatHistory(std::vector<EtcdValue> Records, bool AsJson);

/// Returns the addresses of the instances in an answer to `GET /v1/instances`
/// whose state is not `left`.
std::vector<Address> presentInstances(const Json::Value &Body);
/// Parses an answer to `GET /v1/configuration`. A null \p Body stands for an
/// instance that did not answer.
ConfigurationStatus readConfigurationStatus(const Address &Endpoint,
                                            const Json::Value &Body);
/// Formats one line per instance, or a JSON document if \p AsJson is set.
std::string
formatConfigurationStatus(const std::vector<ConfigurationStatus> &Rows,
                          bool AsJson);
/// Returns true if all instances answered, have the same revision in force and
/// have rejected no newer one.
bool haveSameRevision(const std::vector<ConfigurationStatus> &Rows);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_CONFIG_H
