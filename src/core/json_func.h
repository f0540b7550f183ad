/// \file Reading and writing JSON with typed errors.
#ifndef SNIPESHUNT_CORE_JSON_FUNC_H
#define SNIPESHUNT_CORE_JSON_FUNC_H

#include "core/error_type.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Whether comments are accepted; only settings files have them.
enum class JsonComments { Reject, Accept };

/// Parses \p Text strictly: one value, no duplicate keys, bounded nesting.
Result<Json::Value> parseJson(std::string_view Text,
                              JsonComments Comments = JsonComments::Reject);

/// Writes \p Value on one line.
std::string writeJson(const Json::Value &Value);

/// Reads the fields of one JSON object and reports the first that is wrong.
///
/// Each call checks presence, type and range. `finish` reports the first error
/// or any field that no call has named.
class ObjectReader {
public:
  /// \p Path names the object in messages, for instance `tasks[3]`.
  ObjectReader(const Json::Value &Object, std::string Path);

  bool has(const char *Name) const;
  ObjectReader &string(const char *Name, std::string &Out, size_t MaxLength);
  ObjectReader &optionalString(const char *Name, std::string &Out,
                               size_t MaxLength);
  ObjectReader &integer(const char *Name, int64_t &Out, int64_t Min,
                        int64_t Max);
  ObjectReader &optionalInteger(const char *Name, int64_t &Out, int64_t Min,
                                int64_t Max);
  ObjectReader &unsignedId(const char *Name, uint64_t &Out);
  ObjectReader &optionalNumber(const char *Name, double &Out, double Min,
                               double Max);
  ObjectReader &boolean(const char *Name, bool &Out);
  ObjectReader &optionalBoolean(const char *Name, bool &Out);
  /// Gives the array under \p Name, or null when it is missing or wrong.
  const Json::Value *array(const char *Name, size_t MaxLength);
  const Json::Value *optionalArray(const char *Name, size_t MaxLength);
  /// Gives the object under \p Name, or null when it is missing or wrong.
  const Json::Value *object(const char *Name);
  const Json::Value *optionalObject(const char *Name);
  /// Records an error found by the caller in field \p Name.
  void fail(const char *Name, std::string Allowed);
  /// Adopts an error found in a nested object.
  void fail(Error E);

  std::optional<Error> finish();

private:
  const Json::Value *find(const char *Name, bool Required);
  const Json::Value *container(const char *Name, bool Required,
                               Json::ValueType Type, const char *TypeName);

  const Json::Value &Object;
  std::string Path;
  std::set<std::string> KnownFields;
  std::optional<Error> FirstError;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_JSON_FUNC_H
