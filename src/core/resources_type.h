/// \file Amounts of resources.
#ifndef SNIPESHUNT_CORE_RESOURCES_TYPE_H
#define SNIPESHUNT_CORE_RESOURCES_TYPE_H

#include <cstdint>

namespace snipeshunt {

/// Processor time, memory and accelerators that a task needs or that an
/// upstream has.
struct Resources {
  int64_t CpuMillis = 0;    ///< Thousandths of a core.
  int64_t MemoryMb = 0;     ///< Megabytes.
  int64_t Accelerators = 0; ///< Whole devices.

  /// Returns true if this amount is enough for \p Need.
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
