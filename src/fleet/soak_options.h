/// \file Command line of the soaks.
#ifndef SNIPESHUNT_FLEET_SOAK_OPTIONS_H
#define SNIPESHUNT_FLEET_SOAK_OPTIONS_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipeshunt {

// Exit statuses of the soaks; scripts rely on them.
constexpr int SoakHolds = 0;
constexpr int SoakViolated = 1;
constexpr int SoakUsage = 2;

/// What both soaks can be told.
struct SoakOptions {
  int64_t Seconds = 0; ///< Length of the schedule of faults.
  uint64_t Seed = 1;   ///< Of the schedule and the callers.
  double Rate = 2;     ///< Faults a second.
  int64_t Callers = 0;
  std::string BinaryDir; ///< The programs; by default where the soak is.
  bool KeepWorkDir = false;
  bool PrintSchedule = false;
};

/// An option for the size of a fleet, from 1 to \p Max.
struct SoakSizeOption {
  const char *Name;
  int64_t Max;
  std::function<void(int64_t)> Set;
};

/// Reads the command line; false when it is wrong.
bool parseSoakOptions(int Argc, char **Argv,
                      const std::vector<SoakSizeOption> &Sizes,
                      SoakOptions &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_SOAK_OPTIONS_H
