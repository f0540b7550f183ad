/// \file Numbers given as text.
#ifndef SNIPESHUNT_CORE_NUMBER_FUNC_H
#define SNIPESHUNT_CORE_NUMBER_FUNC_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeshunt {

/// Values of options; nothing when \p Text is not wholly a number in range.
std::optional<int64_t> parseInteger(std::string_view Text, int64_t Min,
                                    int64_t Max);
std::optional<double> parseReal(const char *Text, double Min, double Max);

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_NUMBER_FUNC_H
