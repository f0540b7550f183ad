/// \file How many cells each instance of a data centre is to have.
#ifndef SNIPESHUNT_CELLS_SHARE_FUNC_H
#define SNIPESHUNT_CELLS_SHARE_FUNC_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshunt {

/// Returns the number of cells for each of the instances with \p Weights, which
/// are sorted by falling weight. They serve \p Upstreams upstreams. The numbers
/// add up to `CellsPerCentre`; the last instances may get none.
///
/// If the weights differ, the fewest instances are chosen whose processors
/// suffice, and they share in proportion to their weights. Otherwise each one
/// gets about `UpstreamsPerSender` upstreams.
std::vector<uint32_t> cellShares(const std::vector<double> &Weights,
                                 size_t Upstreams);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_SHARE_FUNC_H
