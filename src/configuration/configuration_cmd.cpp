/// \file Commands that change a configuration document or put one into force.
#include "configuration/configuration_cmd.h"

#include "configuration/configuration_func.h"
#include "configuration/configuration_table.h"

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

/// Returns \p Changed with \p By as its change if the whole document is valid.
Result<Configuration> validated(Configuration Changed,
                                const ConfigurationChange &By) {
  // The id shows whether a change has taken effect, so it must not be reused.
  if (By.Id == Changed.Change.Id)
    return Error{ErrorKind::InvalidField,
                 "change id '" + By.Id.Value + "' is that of the last change",
                 "use a new random id for each change"};
  Changed.Change = By;
  if (std::optional<Error> Problem = checkConfiguration(Changed))
    return *Problem;
  return Changed;
}

Result<Configuration> withException(const Configuration &C,
                                    const PolicyException &Added,
                                    const ConfigurationChange &By) {
  Configuration Changed = C;
  Changed.Exceptions.push_back(Added);
  return validated(std::move(Changed), By);
}

Result<Configuration> withoutException(const Configuration &C,
                                       const ExceptionId &Id,
                                       const ConfigurationChange &By) {
  Configuration Changed = C;
  auto &List = Changed.Exceptions;
  auto Found =
      std::find_if(List.begin(), List.end(),
                   [&](const PolicyException &E) { return E.Id == Id; });
  if (Found == List.end())
    return Error{ErrorKind::NotFound, "no exception '" + Id.Value + "'",
                 "list the exceptions and give the id of one"};
  List.erase(Found);
  return validated(std::move(Changed), By);
}

Result<Configuration> withDefault(const Configuration &C, std::string_view Name,
                                  double Value, const ConfigurationChange &By) {
  const DefaultRow *Row = findDefault(Name);
  if (!Row) {
    std::string Allowed;
    for (const DefaultRow &R : DefaultTable)
      Allowed += (Allowed.empty() ? "" : ", ") + std::string(R.Name);
    return Error{ErrorKind::NotFound, "no default '" + std::string(Name) + "'",
                 "give one of " + Allowed};
  }
  // Checked before it is stored, because storing truncates fractions.
  if (std::optional<Error> Problem = checkDefaultValue(*Row, Value))
    return *Problem;
  Configuration Changed = C;
  storeDefault(Changed.Defaults, *Row, Value);
  return validated(std::move(Changed), By);
}

/// Returns the error of \p Changed, if any, without the document.
Result<Ok> statusOf(const Result<Configuration> &Changed) {
  if (failed(Changed))
    return errorOf(Changed);
  return Ok{};
}

/// Replaces \p C by \p Changed unless that is an error.
Result<Ok> replaceIfValid(Configuration &C, Result<Configuration> Changed) {
  if (failed(Changed))
    return errorOf(Changed);
  C = std::move(valueOf(Changed));
  return Ok{};
}

} // namespace

Result<Ok> testAddException(const Configuration &C,
                            const PolicyException &Added,
                            const ConfigurationChange &By) {
  return statusOf(withException(C, Added, By));
}

Result<Ok> addException(Configuration &C, const PolicyException &Added,
                        const ConfigurationChange &By) {
  return replaceIfValid(C, withException(C, Added, By));
}

Result<Ok> testRemoveException(const Configuration &C, const ExceptionId &Id,
                               const ConfigurationChange &By) {
  return statusOf(withoutException(C, Id, By));
}

Result<Ok> removeException(Configuration &C, const ExceptionId &Id,
                           const ConfigurationChange &By) {
  return replaceIfValid(C, withoutException(C, Id, By));
}

Result<Ok> testSetDefault(const Configuration &C, std::string_view Name,
                          double Value, const ConfigurationChange &By) {
  return statusOf(withDefault(C, Name, Value, By));
}

Result<Ok> setDefault(Configuration &C, std::string_view Name, double Value,
                      const ConfigurationChange &By) {
  return replaceIfValid(C, withDefault(C, Name, Value, By));
}

bool applyRevision(ConfigurationState &State, Revision Number,
                   std::string_view Text, SteadyTime Now) {
  if (!(State.InForceRevision < Number))
    return false;
  Result<Configuration> Read = parseConfiguration(Text);
  if (failed(Read)) {
    if (State.RejectedRevision < Number) {
      Error Problem = errorOf(Read);
      Problem.Message = "configuration revision " +
                        std::to_string(Number.Value) + ": " + Problem.Message;
      State.LastRejected = std::move(Problem);
      State.RejectedRevision = Number;
    }
    return false;
  }
  State.InForce = std::move(valueOf(Read));
  State.InForceRevision = Number;
  State.InForceText = std::string(Text);
  State.Since = Now;
  // The rejection of a still newer revision continues to be reported.
  if (State.RejectedRevision < Number)
    State.LastRejected.reset();
  return true;
}

} // namespace snipeshunt
