/// \file How many cells each instance of a data centre is to have.
#include "cells/share_func.h"

#include "cells/cell_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snipeshunt {

bool haveDifferentProcessors(const std::vector<double> &Weights) {
  return Weights.front() != Weights.back() && Weights.front() > 0;
}

size_t senderCount(const std::vector<double> &Weights, size_t Upstreams) {
  size_t Count = 0;
  if (haveDifferentProcessors(Weights)) {
    double Needed = static_cast<double>(Upstreams) / UpstreamsPerCore;
    double Cores = 0;
    while (Count < Weights.size() && Cores < Needed)
      Cores += Weights[Count++];
  } else {
    Count = (Upstreams + UpstreamsPerSender - 1) / UpstreamsPerSender;
  }
  return std::clamp<size_t>(Count, 1,
                            std::min<size_t>(Weights.size(), CellsPerCentre));
}

std::vector<uint32_t> cellShares(const std::vector<double> &Weights,
                                 size_t Upstreams) {
  std::vector<uint32_t> Shares(Weights.size());
  if (Weights.empty())
    return Shares;
  size_t Count = senderCount(Weights, Upstreams);
  auto End = Weights.begin() + static_cast<std::ptrdiff_t>(Count);
  double Total = std::accumulate(Weights.begin(), End, 0.0);
  // The share of each instance ends at the rounded sum of the weights so far,
  // so that the shares add up.
  double Sum = 0;
  uint32_t Given = 0;
  for (size_t I = 0; I < Count; ++I) {
    Sum += Total > 0 ? Weights[I] / Total : 1.0 / static_cast<double>(Count);
    auto Limit = static_cast<uint32_t>(std::lround(Sum * CellsPerCentre));
    Shares[I] = Limit - Given;
    Given = Limit;
  }
  return Shares;
}

} // namespace snipeshunt
