/// \file Building requests of the etcd v3 JSON gateway and reading its replies.
///
/// Keys and values are base64 and 64-bit integers are strings, as the gateway
/// defines them. Fields with their default value may be absent from replies.
#ifndef SNIPESHUNT_CONFIGURATION_ETCD_FUNC_H
#define SNIPESHUNT_CONFIGURATION_ETCD_FUNC_H

#include "configuration/configuration_type.h"
#include "configuration/etcd_type.h"
#include "core/base64_func.h"
#include "core/error_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// Key of the configuration document.
inline constexpr std::string_view ConfigurationKey = "snipeshunt/configuration";
inline constexpr std::string_view HistoryPrefix =
    "snipeshunt/configuration-history/";
/// Key of the history entry of change \p Id.
std::string historyKey(const ChangeId &Id);

EtcdRequest rangeRequest(std::string_view Key);
/// Reads all keys that start with \p Prefix.
EtcdRequest prefixRequest(std::string_view Prefix);
/// Watches \p Key from revision \p From, which is included.
EtcdRequest watchRequest(std::string_view Key, Revision From);
/// Replaces the document \p Old, read at \p OldRevision, by \p New and records
/// the change in the history. Revision 0 means that no document exists yet.
EtcdRequest swapRequest(const Configuration &Old, Revision OldRevision,
                        const Configuration &New);

Result<EtcdRangeReply> parseRangeReply(std::string_view Text);
/// Values of a reply to a range request for several keys.
Result<std::vector<EtcdValue>> parseListReply(std::string_view Text);
Result<EtcdSwapReply> parseSwapReply(std::string_view Text);
/// Reads one message of a watch, which is one line of the response.
Result<EtcdWatchReply> parseWatchReply(std::string_view Line);

/// Removes the complete lines from the front of \p Buffer and gives those that
/// are not empty. A watch response arrives in pieces that split lines.
std::vector<std::string> takeLines(std::string &Buffer);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_ETCD_FUNC_H
