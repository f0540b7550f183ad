/// \file Reading histories and checking them against the guarantees.
#ifndef SNIPESHUNT_HISTORY_HISTORY_FUNC_H
#define SNIPESHUNT_HISTORY_HISTORY_FUNC_H

#include "core/clock.h"
#include "core/error_type.h"
#include "history/history_type.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Each reader adds the lines of \p In to \p Out and gives the first error. A
/// last line that is not JSON is counted instead, since a killed process may
/// have left it. \p Name names the file in errors.
std::optional<Error> readUpstreamHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out);
std::optional<Error>
readCallerHistory(std::istream &In, const std::string &Name, HistoryInput &Out);
/// Lines are timeline events or whole answers of `GET /v1/timeline`.
std::optional<Error> readTimelineHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out);

/// Checks every guarantee; a start on an upstream is allowed up to
/// \p LeavingGrace after the upstream's first record as leaving.
std::vector<GuaranteeReport> checkHistories(const HistoryInput &Input,
                                            Duration LeavingGrace);

/// Counts a violation and keeps its text among the first.
void addViolation(GuaranteeReport &Report, std::string Text);
bool anyViolation(const std::vector<GuaranteeReport> &Reports);
std::string formatReports(const std::vector<GuaranteeReport> &Reports);

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_HISTORY_FUNC_H
