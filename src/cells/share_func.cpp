/// \file How many cells each instance of a data centre is to have.
#include "cells/share_func.h"

#include "cells/cell_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snipeshunt {

namespace {

/// Returns how many of the instances serve \p Upstreams upstreams. Few senders
/// see more of the free capacity each, so no more are taken than needed.
size_t senderCount(const std::vector<double> &Weights, size_t Upstreams) {
  bool Differ = Weights.front() != Weights.back() && Weights.front() > 0;
  if (!Differ)
    return (Upstreams + UpstreamsPerSender - 1) / UpstreamsPerSender;
  double Needed = static_cast<double>(Upstreams) / UpstreamsPerCore;
  size_t Count = 0;
  double Cores = 0;
  while (Count < Weights.size() && Cores < Needed)
    Cores += Weights[Count++];
  return Count;
}

} // namespace

std::vector<uint32_t> cellShares(const std::vector<double> &Weights,
                                 size_t Upstreams) {
  std::vector<uint32_t> Shares(Weights.size());
  if (Weights.empty())
    return Shares;
  size_t Count =
      std::clamp<size_t>(senderCount(Weights, Upstreams), 1,
                         std::min<size_t>(Weights.size(), CellsPerCentre));
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
