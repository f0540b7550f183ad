/// \file Parses numbers.
#include "core/number_func.h"

#include <charconv>
#include <cstdlib>

namespace snipeshunt {

std::optional<int64_t> parseInteger(std::string_view Text, int64_t Min,
                                    int64_t Max) {
  int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc() || Rest != End || Value < Min || Value > Max)
    return std::nullopt;
  return Value;
}

std::optional<double> parseReal(const char *Text, double Min, double Max) {
  char *End = nullptr;
  double Value = strtod(Text, &End);
  if (End == Text || *End != '\0' || !(Value >= Min && Value <= Max))
    return std::nullopt;
  return Value;
}

} // namespace snipeshunt
