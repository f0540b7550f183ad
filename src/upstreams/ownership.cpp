/// \file Rendezvous hashing.
#include "upstreams/ownership_func.h"

#include <xxhash.h>

namespace snipeshunt {

std::optional<Address> rendezvousOwner(const std::string &Key,
                                       const std::vector<Address> &Candidates) {
  std::optional<Address> Best;
  XXH64_hash_t BestHash = 0;
  for (const Address &Candidate : Candidates) {
    std::string Text = Candidate.Value + "|" + Key;
    XXH64_hash_t Hash = XXH64(Text.data(), Text.size(), 0);
    // Ties are broken by address, so that the order of candidates is
    // irrelevant.
    if (!Best || Hash > BestHash ||
        (Hash == BestHash && Candidate.Value < Best->Value)) {
      Best = Candidate;
      BestHash = Hash;
    }
  }
  return Best;
}

} // namespace snipeshunt
