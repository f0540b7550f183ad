/// \file Rendezvous hashing, which chooses the sender of each upstream and the
/// instance that watches the configuration.
#ifndef SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H
#define SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H

#include "core/id_type.h"

#include <optional>
#include <vector>

namespace snipeshunt {

/// Returns the candidate with the highest hash for \p Key, or nothing without
/// candidates. All instances with the same candidates choose the same one, and
/// removing a candidate reassigns only its own keys.
std::optional<Address> rendezvousOwner(const std::string &Key,
                                       const std::vector<Address> &Candidates);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H
