/// \file Splits the text of a JSON object at the items of a list in it.
#ifndef SNIPESHUNT_CORE_JSON_LIST_H
#define SNIPESHUNT_CORE_JSON_LIST_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// The text of a JSON object whose field is a list. No part of it has been
/// parsed yet.
struct JsonListText {
  std::string Rest; ///< The object with an empty list.
  /// The texts of the items, which refer to the text that was split.
  std::vector<std::string_view> Items;
};

/// Splits \p Text at the items of its first field \p List. Returns nothing if
/// there is no such array, or if the text before its end is not well formed;
/// then only a parse of the whole text can decide.
std::optional<JsonListText> splitJsonList(std::string_view Text,
                                          std::string_view List);

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_JSON_LIST_H
