/// \file Splits the text of a JSON object at the items of a list in it.
#include "core/json_list.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Finds the items of a list in the text of an object, without parsing them.
/// Does not recurse, so that nesting can't overflow the stack.
class ListScanner {
public:
  explicit ListScanner(std::string_view Text) : Text(Text) {}

  /// Finds the array that is field \p Name of the object. Returns false if
  /// there is none, or if the text before its end is not well formed.
  bool find(std::string_view Name) {
    if (!accept('{'))
      return false;
    do {
      skipSpace();
      size_t KeyBegin = At;
      if (!skipString())
        return false;
      bool Found = Text.substr(KeyBegin + 1, At - KeyBegin - 2) == Name;
      if (!accept(':'))
        return false;
      skipSpace();
      Begin = At;
      if (Found)
        return scanItems();
      if (!skipValue())
        return false;
    } while (accept(','));
    return false;
  }

  /// Returns the text with an empty list.
  std::string textWithoutItems() const {
    return std::string(Text.substr(0, Begin)) + "[]" +
           std::string(Text.substr(At));
  }

  const std::vector<std::string_view> &items() const { return Items; }

private:
  void skipSpace() {
    At = std::min(Text.find_first_not_of(" \t\r\n", At), Text.size());
  }

  bool accept(char C) {
    skipSpace();
    if (At >= Text.size() || Text[At] != C)
      return false;
    ++At;
    return true;
  }

  bool skipString() {
    if (At >= Text.size() || Text[At] != '"')
      return false;
    for (++At; At < Text.size(); ++At) {
      if (Text[At] == '\\')
        ++At;
      else if (Text[At] == '"')
        return ++At, true;
    }
    return false;
  }

  /// Moves to the comma or bracket after a value. Brackets of both kinds count
  /// alike, since the value is checked later.
  bool skipValue() {
    for (size_t Depth = 0; At < Text.size();) {
      char C = Text[At];
      if (C == '"') {
        if (!skipString())
          return false;
        continue;
      }
      bool Closes = C == ']' || C == '}';
      if (Depth == 0 && (Closes || C == ','))
        return true;
      if (C == '[' || C == '{')
        ++Depth;
      else if (Closes)
        --Depth;
      ++At;
    }
    return false;
  }

  bool scanItems() {
    if (!accept('['))
      return false;
    if (accept(']'))
      return true;
    do {
      size_t ItemBegin = At;
      if (!skipValue())
        return false;
      Items.push_back(Text.substr(ItemBegin, At - ItemBegin));
    } while (accept(','));
    return accept(']');
  }

  std::string_view Text;
  size_t At = 0;
  size_t Begin = 0; ///< Of the list.
  std::vector<std::string_view> Items;
};

} // namespace

std::optional<JsonListText> splitJsonList(std::string_view Text,
                                          std::string_view List) {
  ListScanner Scanner(Text);
  if (!Scanner.find(List))
    return std::nullopt;
  return JsonListText{Scanner.textWithoutItems(), Scanner.items()};
}

} // namespace snipeshunt
