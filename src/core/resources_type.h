/// \file Amounts of what tasks need and upstreams have.
#ifndef SNIPESHUNT_CORE_RESOURCES_TYPE_H
#define SNIPESHUNT_CORE_RESOURCES_TYPE_H

#include <cstdint>

namespace snipeshunt {

/// Processor, memory and accelerators, needed or available.
struct Resources {
  int64_t CpuMillis = 0;    ///< Thousandths of a core.
  int64_t MemoryMb = 0;     ///< Megabytes.
  int64_t Accelerators = 0; ///< Whole devices.

  /// Whether \p Need can be taken out of this amount.
  bool covers(const Resources &Need) const {
    return CpuMillis >= Need.CpuMillis && MemoryMb >= Need.MemoryMb &&
           Accelerators >= Need.Accelerators;
  }
  Resources &operator+=(const Resources &R) {
    CpuMillis += R.CpuMillis;
    MemoryMb += R.MemoryMb;
    Accelerators += R.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &R) {
    CpuMillis -= R.CpuMillis;
    MemoryMb -= R.MemoryMb;
    Accelerators -= R.Accelerators;
    return *this;
  }
  friend Resources operator-(Resources L, const Resources &R) { return L -= R; }
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_RESOURCES_TYPE_H
