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

/// Largest number of exceptions in a document.
constexpr size_t MaxExceptions = 200;
/// Largest document. The platform's service accepts values up to 1 MB.
constexpr size_t MaxDocumentBytes = 1000000;

/// Parses and validates a document. Absent defaults get their built-in value.
Result<Configuration> parseConfiguration(std::string_view Text);
/// Returns the JSON text of \p C, with every default written out.
std::string writeConfiguration(const Configuration &C);
/// Returns the object `change` of a document.
Json::Value changeToJson(const ConfigurationChange &Change);

/// Returns the first violation of a rule in \p C, if any.
std::optional<Error> checkConfiguration(const Configuration &C);

/// Returns an error if \p Value is out of the range of \p Row.
std::optional<Error> checkDefaultValue(const DefaultRow &Row, double Value);

/// Returns true if \p Text is a date and time as RFC 3339 defines it.
bool isRfc3339Time(std::string_view Text);

/// Row of the default called \p Name, or null.
const DefaultRow *findDefault(std::string_view Name);
/// Value of \p Row in \p Defaults; a duration in milliseconds.
double defaultValue(const PolicyDefaults &Defaults, const DefaultRow &Row);
/// Sets \p Row in \p Defaults; truncates fractions if `isWhole(Row)`.
void storeDefault(PolicyDefaults &Defaults, const DefaultRow &Row,
                  double Value);
/// Returns true if only whole numbers are accepted for \p Row.
bool isWhole(const DefaultRow &Row);

// Values that apply to one object: the exception's value, or else the default.

/// Largest number of tasks of team \p Name running or waiting.
int64_t teamQuota(const Configuration &C, const Team &Name);
/// Weight of team \p Name in fair sharing.
double teamWeight(const Configuration &C, const Team &Name);
/// Run time assumed for \p Kind before any is measured; empty if not set.
std::optional<std::chrono::milliseconds> expectedTime(const Configuration &C,
                                                      const TaskKind &Kind);
/// Longest run time of one task of \p Kind.
std::chrono::milliseconds taskTimeout(const Configuration &C,
                                      const TaskKind &Kind);
/// Returns true if an operator has marked \p Upstream as leaving, so that it
/// receives no new task.
bool upstreamLeaving(const Configuration &C, const Address &Upstream);
/// Number of slots set by an operator for \p Upstream, which overrides the
/// number that the upstream reports; empty if not set.
std::optional<int64_t> upstreamSlots(const Configuration &C,
                                     const Address &Upstream);
/// Returns true if \p Centre accepts tasks of other data centres, which is the
/// default.
bool acceptsForeignWork(const Configuration &C, const DataCentre &Centre);

/// One line of text per difference of defaults and exceptions, for operators
/// and for the history. The objects `change` are not compared.
std::vector<std::string> diffConfigurations(const Configuration &Old,
                                            const Configuration &New);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_FUNC_H
