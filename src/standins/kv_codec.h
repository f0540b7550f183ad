/// \file etcd's JSON form of key-value requests and replies.
///
/// As in etcd's gateway, keys and values are base64, 64-bit numbers are
/// written as strings and read as strings or numbers, and fields that are zero,
/// empty or false are left out of replies.
#ifndef SNIPESHUNT_STANDINS_KV_CODEC_H
#define SNIPESHUNT_STANDINS_KV_CODEC_H

#include "core/json_func.h"
#include "standins/kv_store.h"

#include <string_view>

namespace snipeshunt {

/// A transaction as requested.
struct KvTxn {
  std::vector<KvCompare> Conditions;
  std::vector<KvOperation> Success;
  std::vector<KvOperation> Failure;
};

/// A watch as requested.
struct KvWatch {
  KeyRange Keys;
  int64_t StartRevision = 0; ///< 0: from now on.
};

/// A lease request; only granting has a time.
struct KvLease {
  int64_t Id = 0;         ///< 0 in a grant: the service chooses.
  int64_t TtlSeconds = 0; ///< Time until the lease ends.
};

Result<KvOperation> readOperation(const Json::Value &Body,
                                  KvOperation::Type Kind);
Result<KvTxn> readTxn(const Json::Value &Body);
Result<KvWatch> readWatch(const Json::Value &Body);
/// \p Grant says whether the request carries a time.
Result<KvLease> readLease(const Json::Value &Body, bool Grant);

/// The header that all replies have.
Json::Value writeHeader(int64_t Revision);
Json::Value writeResult(const KvResult &Result, int64_t Revision);
Json::Value writeTxnResult(const KvTxnResult &Result, int64_t Revision);
Json::Value writeChanges(const KvChanges &Changes, int64_t Revision);
Json::Value writeLease(int64_t Id, std::chrono::seconds Ttl, int64_t Revision);

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_KV_CODEC_H
