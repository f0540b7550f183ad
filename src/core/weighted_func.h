/// \file Draws a random row of a table with weights.
#ifndef SNIPESHUNT_CORE_WEIGHTED_FUNC_H
#define SNIPESHUNT_CORE_WEIGHTED_FUNC_H

#include <cstddef>
#include <cstdint>

namespace snipeshunt {

/// Returns the index of a random row of \p Table. The probability of each row
/// is proportional to its weight by \p WeightOf. \p Below returns a random
/// number from 0 to its argument minus 1; at least one weight must not be 0.
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
