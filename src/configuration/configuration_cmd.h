/// \file Commands that change a configuration document or put one into force.
///
/// Each `testX` returns the error that `X` would return, and changes nothing.
/// `X` changes the document only if the result is valid as a whole. \p By is
/// the id, author and time of the change. The operator's tool calls some of
/// them, tests call all.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H

#include "configuration/configuration_base.h"
#include "core/error_type.h"

#include <string_view>

namespace snipeshunt {

/// Appends \p Added to the exceptions.
Result<Ok> testAddException(const Configuration &C,
                            const PolicyException &Added,
                            const ConfigurationChange &By);
Result<Ok> addException(Configuration &C, const PolicyException &Added,
                        const ConfigurationChange &By);

/// Removes the exception \p Id; an error if there is none.
Result<Ok> testRemoveException(const Configuration &C, const ExceptionId &Id,
                               const ConfigurationChange &By);
Result<Ok> removeException(Configuration &C, const ExceptionId &Id,
                           const ConfigurationChange &By);

/// Sets the key \p Name of the object `defaults`, in the unit of that key.
Result<Ok> testSetDefault(const Configuration &C, std::string_view Name,
                          double Value, const ConfigurationChange &By);
Result<Ok> setDefault(Configuration &C, std::string_view Name, double Value,
                      const ConfigurationChange &By);

/// Puts the document \p Text of revision \p Number into force if it is valid
/// and newer than the one in force; returns true if it did. A newer document
/// that is invalid is recorded as rejected. Called for each document received
/// from the platform's service or from a peer.
bool applyRevision(ConfigurationState &State, Revision Number,
                   std::string_view Text, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H
