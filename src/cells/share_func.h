/// \file How many cells each instance of a data centre is to have.
#ifndef SNIPESHUNT_CELLS_SHARE_FUNC_H
#define SNIPESHUNT_CELLS_SHARE_FUNC_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshunt {

/// Returns true if the processors of the instances differ. \p Weights are
/// sorted by falling weight; weights of 0 are unknown.
bool haveDifferentProcessors(const std::vector<double> &Weights);

/// Returns how many of the instances with \p Weights, which are sorted by
/// falling weight, serve \p Upstreams upstreams. Few senders see more of the
/// free capacity each, so no more are taken than needed.
///
/// If the processors differ, these are the fewest whose processors suffice.
/// Otherwise each one gets about `UpstreamsPerSender` upstreams.
size_t senderCount(const std::vector<double> &Weights, size_t Upstreams);

/// Returns the number of cells for each of the instances with \p Weights, which
/// are sorted by falling weight. They serve \p Upstreams upstreams. The first
/// `senderCount` instances share the cells in proportion to their weights; the
/// numbers add up to `CellsPerCentre`.
std::vector<uint32_t> cellShares(const std::vector<double> &Weights,
                                 size_t Upstreams);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_SHARE_FUNC_H
