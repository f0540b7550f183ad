/// \file Parses, reads and writes JSON.
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

/// Whether the parser accepts comments. Only settings files may have them.
enum class JsonComments { Reject, Accept };

/// Parses \p Text, which must be exactly one JSON value without duplicate keys
/// and with at most 64 levels of nesting.
Result<Json::Value> parseJson(std::string_view Text,
                              JsonComments Comments = JsonComments::Reject);

/// Parses \p Text, which must be one JSON object whose field \p List is an
/// array, if present. Items of that array that `parseJson` rejects become null,
/// so that one of them does not hide the others.
Result<Json::Value> parseJsonWithList(std::string_view Text,
                                      std::string_view List);

/// Returns the text of \p Value on one line.
std::string writeJson(const Json::Value &Value);

/// Reads the fields of one JSON object and reports the first error.
///
/// Each function reads one field and checks its presence, type and range. If
/// the field is absent or wrong, `Out` keeps its value. `finish` returns the
/// first error; it also rejects fields that no function was called for.
class ObjectReader {
public:
  /// \p Path is the path of the object in messages, for instance `tasks[3]`,
  /// and empty for the root. \p Object must outlive the reader.
  ObjectReader(const Json::Value &Object, std::string Path);

  /// Returns true if the object has the field \p Name.
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
  /// Returns the array \p Name of at most \p MaxLength items, or null if it is
  /// missing or wrong.
  const Json::Value *array(const char *Name, size_t MaxLength);
  const Json::Value *optionalArray(const char *Name, size_t MaxLength);
  /// Returns the object \p Name, or null if it is missing or wrong.
  const Json::Value *object(const char *Name);
  const Json::Value *optionalObject(const char *Name);
  /// Records that the field \p Name has a wrong value, unless there is an error
  /// already. \p Allowed describes the allowed values, for the remedy.
  void fail(const char *Name, std::string Allowed);
  /// Records an error that was found in a nested object, unless there is an
  /// error already.
  void fail(Error E);

  /// Returns the first error, or nothing. Called once, after all fields.
  std::optional<Error> finish();

private:
  const Json::Value *find(const char *Name, bool Required);
  const Json::Value *container(const char *Name, bool Required,
                               Json::ValueType Type, const char *TypeName);

  const Json::Value &Object;
  std::string Path;
  std::set<std::string> KnownFields; ///< Names of all fields asked for.
  std::optional<Error> FirstError;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_JSON_FUNC_H
