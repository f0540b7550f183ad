/// \file Choice of the sender of an upstream by rendezvous hashing.
#ifndef SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H
#define SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H

#include "core/id_type.h"

#include <optional>
#include <vector>

namespace snipeshunt {

/// The candidate with the highest hash for \p Key, or none without candidates.
/// All instances with the same candidates choose the same one, and the loss of
/// one moves only what it had.
std::optional<Address> rendezvousOwner(const std::string &Key,
                                       const std::vector<Address> &Candidates);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_OWNERSHIP_FUNC_H
