/// \file Changes of configuration documents and of the one in force.
///
/// Each `testX` gives the reason for which `X` would be refused and changes
/// nothing. `X` tests first and changes nothing when it is refused.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H

#include "configuration/configuration_base.h"
#include "core/error_type.h"

#include <string_view>

namespace snipeshunt {

Result<Ok> testAddException(const Configuration &C,
                            const PolicyException &Added,
                            const ConfigurationChange &By);
Result<Ok> addException(Configuration &C, const PolicyException &Added,
                        const ConfigurationChange &By);

Result<Ok> testRemoveException(const Configuration &C, const ExceptionId &Id,
                               const ConfigurationChange &By);
Result<Ok> removeException(Configuration &C, const ExceptionId &Id,
                           const ConfigurationChange &By);

Result<Ok> testSetDefault(const Configuration &C, std::string_view Name,
                          double Value, const ConfigurationChange &By);
Result<Ok> setDefault(Configuration &C, std::string_view Name, double Value,
                      const ConfigurationChange &By);

/// Puts the document \p Text into force if its revision is higher than that in
/// force and it can be read. Gives whether it did.
bool applyRevision(ConfigurationState &State, Revision Number,
                   std::string_view Text, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_CMD_H
