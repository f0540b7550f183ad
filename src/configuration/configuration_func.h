/// \file Reading, checking, writing and querying configuration documents.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_FUNC_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_FUNC_H

#include "configuration/configuration_type.h"
#include "core/error_type.h"

#include <json/json.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

struct DefaultRow;

constexpr size_t MaxExceptions = 200;
// The platform's service accepts values up to 1 MB.
constexpr size_t MaxDocumentBytes = 1000000;

Result<Configuration> parseConfiguration(std::string_view Text);
std::string writeConfiguration(const Configuration &C);
Json::Value changeToJson(const ConfigurationChange &Change);

/// Gives the first rule that \p C breaks, if any.
std::optional<Error> checkConfiguration(const Configuration &C);

/// Gives why \p Value can't be stored for \p Row, if so.
std::optional<Error> checkDefaultValue(const DefaultRow &Row, double Value);

/// Whether \p Text is a date and time as RFC 3339 defines it.
bool isRfc3339Time(std::string_view Text);

/// Row of the default called \p Name, or null.
const DefaultRow *findDefault(std::string_view Name);
double defaultValue(const PolicyDefaults &Defaults, const DefaultRow &Row);
void storeDefault(PolicyDefaults &Defaults, const DefaultRow &Row,
                  double Value);
/// Whether only whole numbers are accepted for \p Row.
bool isWhole(const DefaultRow &Row);

// Values in force for one object, with exceptions applied.
int64_t teamQuota(const Configuration &C, const Team &Name);
double teamWeight(const Configuration &C, const Team &Name);
std::optional<std::chrono::milliseconds> expectedTime(const Configuration &C,
                                                      const TaskKind &Kind);
std::chrono::milliseconds taskTimeout(const Configuration &C,
                                      const TaskKind &Kind);
bool upstreamLeaving(const Configuration &C, const Address &Upstream);
/// Slots that an operator has set for \p Upstream, in place of its own report.
std::optional<int64_t> upstreamSlots(const Configuration &C,
                                     const Address &Upstream);
bool acceptsForeignWork(const Configuration &C, const DataCentre &Centre);

/// One line of text per difference, without the change ids.
std::vector<std::string> diffConfigurations(const Configuration &Old,
                                            const Configuration &New);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_FUNC_H
