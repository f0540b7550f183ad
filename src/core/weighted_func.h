/// \file Draws from tables whose rows have weights.
#ifndef SNIPESHUNT_CORE_WEIGHTED_FUNC_H
#define SNIPESHUNT_CORE_WEIGHTED_FUNC_H

#include <cstddef>
#include <cstdint>

namespace snipeshunt {

/// Number of a row of \p Table, drawn by \p WeightOf each row. \p Below draws a
/// number below its argument.
template <typename Row, size_t N, typename Weight, typename Draw>
size_t drawWeightedRow(const Row (&Table)[N], Weight WeightOf, Draw Below) {
  uint64_t Total = 0;
  for (const Row &R : Table)
    Total += WeightOf(R);
  uint64_t Left = Below(Total);
  size_t Number = 0;
  while (Left >= WeightOf(Table[Number]))
    Left -= WeightOf(Table[Number++]);
  return Number;
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_WEIGHTED_FUNC_H
