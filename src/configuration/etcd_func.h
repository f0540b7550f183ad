/// \file Building requests to the etcd v3 JSON gateway and parsing its replies.
///
/// On the wire, keys and values are base64 and 64-bit integers are strings, as
/// the gateway defines them; replies may omit fields that have their default
/// value. The functions take and return decoded keys and values.
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
/// Prefix of the keys of the history, which has one record per change.
inline constexpr std::string_view HistoryPrefix =
    "snipeshunt/configuration-history/";
/// Key of the history record of change \p Id.
std::string historyKey(const ChangeId &Id);

/// Reads one key.
EtcdRequest rangeRequest(std::string_view Key);
/// Reads all keys that start with \p Prefix.
EtcdRequest prefixRequest(std::string_view Prefix);
/// Watches \p Key for changes at revision \p From or later.
EtcdRequest watchRequest(std::string_view Key, Revision From);
/// Replaces the document \p Old, last changed at \p OldRevision, by \p New and
/// records the change in the history, in one transaction that fails if the
/// document has another revision. Revision 0: no document exists yet.
EtcdRequest swapRequest(const Configuration &Old, Revision OldRevision,
                        const Configuration &New);

/// Parses the reply to `rangeRequest`.
Result<EtcdRangeReply> parseRangeReply(std::string_view Text);
/// Parses the reply to `prefixRequest` and returns the values of all its keys.
Result<std::vector<EtcdValue>> parseListReply(std::string_view Text);
/// Parses the reply to `swapRequest`.
Result<EtcdSwapReply> parseSwapReply(std::string_view Text);
/// Parses one message of a watch, which is one line of the response.
Result<EtcdWatchReply> parseWatchReply(std::string_view Line);

/// Removes the complete lines from the front of \p Buffer and returns those
/// that are not empty. Called for each chunk of a watch response, because
/// chunks do not end at line ends.
std::vector<std::string> takeLines(std::string &Buffer);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_ETCD_FUNC_H
