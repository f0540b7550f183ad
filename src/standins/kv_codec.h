/// \file Parses and writes key-value requests and replies in etcd's JSON form.
///
/// As in etcd's JSON gateway, keys and values are base64; 64-bit numbers are
/// written as strings and accepted as strings or numbers; and replies omit
/// fields that are zero, empty or false.
#ifndef SNIPESHUNT_STANDINS_KV_CODEC_H
#define SNIPESHUNT_STANDINS_KV_CODEC_H

#include "core/json_func.h"
#include "standins/kv_store.h"

#include <string_view>

namespace snipeshunt {

/// A transaction request.
struct KvTxn {
  std::vector<KvCompare> Conditions;
  std::vector<KvOperation> Success; ///< Run if all conditions hold.
  std::vector<KvOperation> Failure; ///< Run otherwise.
};

/// A watch request.
struct KvWatch {
  KeyRange Keys;
  int64_t StartRevision = 0; ///< First revision reported; 0: the next one.
};

/// A request to grant, keep alive or revoke a lease.
struct KvLease {
  int64_t Id = 0;         ///< 0 in a grant: the service chooses an id.
  int64_t TtlSeconds = 0; ///< Time to live in seconds, grants only.
};

/// Each of these functions parses the body of a request, and returns an error
/// for a malformed one.
Result<KvOperation> readOperation(const Json::Value &Body,
                                  KvOperation::Type Kind);
Result<KvTxn> readTxn(const Json::Value &Body);
Result<KvWatch> readWatch(const Json::Value &Body);
/// \p Grant is true for a request that grants a lease, which has a TTL.
Result<KvLease> readLease(const Json::Value &Body, bool Grant);

/// Returns the header of a reply. \p Revision is the store's revision, here and
/// in the functions below, which return reply bodies.
Json::Value writeHeader(int64_t Revision);
Json::Value writeResult(const KvResult &Result, int64_t Revision);
Json::Value writeTxnResult(const KvTxnResult &Result, int64_t Revision);
Json::Value writeChanges(const KvChanges &Changes, int64_t Revision);
/// \p Ttl of 0 stands for a lease that does not exist.
Json::Value writeLease(int64_t Id, std::chrono::seconds Ttl, int64_t Revision);

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_KV_CODEC_H
