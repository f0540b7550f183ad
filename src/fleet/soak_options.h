/// \file Command line of the soak tests.
#ifndef SNIPESHUNT_FLEET_SOAK_OPTIONS_H
#define SNIPESHUNT_FLEET_SOAK_OPTIONS_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipeshunt {

// Exit statuses of the soak tests; scripts rely on them.
constexpr int SoakHolds = 0;    ///< All guarantees hold.
constexpr int SoakViolated = 1; ///< A guarantee is violated.
constexpr int SoakUsage = 2;    ///< Wrong usage, or the fleet did not start.

/// Options that both soak tests have.
struct SoakOptions {
  int64_t Seconds = 0;      ///< Length of the schedule of faults.
  uint64_t Seed = 1;        ///< Of the schedule and the callers.
  double Rate = 2;          ///< Faults a second.
  int64_t Callers = 0;      ///< Number of concurrent callers.
  std::string BinaryDir;    ///< Directory of the programs; default: this one's.
  bool KeepWorkDir = false; ///< Keep histories and logs after the test.
  bool PrintSchedule = false; ///< Print the schedule and exit.
};

/// An option for the size of a fleet, from 1 to `Max`.
struct SoakSizeOption {
  const char *Name;
  int64_t Max;
  std::function<void(int64_t)> Set; ///< Called with the parsed value.
};

/// Reads the command line, in which \p Sizes are further options, into \p Out.
/// Returns false if it is invalid. Fields without an option keep their value.
bool parseSoakOptions(int Argc, char **Argv,
                      const std::vector<SoakSizeOption> &Sizes,
                      SoakOptions &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_SOAK_OPTIONS_H
