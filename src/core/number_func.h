/// \file Parses numbers.
#ifndef SNIPESHUNT_CORE_NUMBER_FUNC_H
#define SNIPESHUNT_CORE_NUMBER_FUNC_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeshunt {

/// Parse the value of a command-line option. Both return nothing unless the
/// whole of \p Text is a number from \p Min to \p Max.
std::optional<int64_t> parseInteger(std::string_view Text, int64_t Min,
                                    int64_t Max);
std::optional<double> parseReal(const char *Text, double Min, double Max);

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_NUMBER_FUNC_H
