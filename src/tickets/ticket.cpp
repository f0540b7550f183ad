/// \file Text forms of tickets and of the ids that are derived from them.
#include "tickets/ticket_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace snipeshunt {

namespace {

constexpr std::string_view TicketVersion = "v1";
// The HMAC is truncated to 128 bits, which can't be guessed and keep the ticket
// short.
constexpr size_t MacBytes = 16;
// Bounds the input that is parsed; issued tickets are shorter.
constexpr size_t MaxTicketLength = 256;

std::string hexText(const unsigned char *Bytes, size_t Size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  Out.reserve(Size * 2);
  for (size_t I = 0; I < Size; ++I) {
    Out.push_back(Digits[Bytes[I] >> 4]);
    Out.push_back(Digits[Bytes[I] & 15]);
  }
  return Out;
}

std::string computeMac(std::string_view Text, std::string_view Key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Mac.data(), &Size);
  return hexText(Mac.data(), MacBytes);
}

template <typename T>
bool parseNumber(std::string_view Text, T &Out, int Base = 10) {
  auto [Rest, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out, Base);
  return Status == std::errc() && Rest == Text.data() + Text.size() &&
         !Text.empty();
}

/// Splits \p Text at its last dots into \p Count parts. The first part keeps
/// the other dots, since an address contains some. Returns no parts if there
/// are too few dots.
std::vector<std::string_view> splitFromRight(std::string_view Text,
                                             size_t Count) {
  std::vector<std::string_view> Parts;
  while (Parts.size() + 1 < Count) {
    size_t Dot = Text.rfind('.');
    if (Dot == std::string_view::npos)
      return {};
    Parts.push_back(Text.substr(Dot + 1));
    Text = Text.substr(0, Dot);
  }
  Parts.push_back(Text);
  std::reverse(Parts.begin(), Parts.end());
  return Parts;
}

} // namespace

std::string incarnationText(IncarnationId Id) {
  std::array<unsigned char, 8> Bytes{};
  for (size_t I = 0; I < Bytes.size(); ++I)
    Bytes[I] = static_cast<unsigned char>(Id.Value >> (56 - 8 * I));
  return hexText(Bytes.data(), Bytes.size());
}

std::optional<IncarnationId> parseIncarnation(std::string_view Text) {
  IncarnationId Id;
  if (Text.size() != 16 || !parseNumber(Text, Id.Value, 16))
    return std::nullopt;
  return Id;
}

std::string jobText(IncarnationId Home, TicketSequence Job) {
  return incarnationText(Home) + "-" + std::to_string(Job.Value);
}

std::string taskText(const TaskKey &Key) {
  return jobText(Key.Home, Key.Job) + "-" + std::to_string(Key.Index.Value);
}

std::string encodeTicket(const Ticket &T, std::string_view FleetKey) {
  std::string Home = T.Home.Value;
  std::replace(Home.begin(), Home.end(), ':', '_');
  std::string Text = std::string(TicketVersion) + "." + T.Centre.Value + "." +
                     Home + "." + incarnationText(T.Incarnation) + "." +
                     std::to_string(T.Sequence.Value) + "." +
                     std::to_string(T.IssuedAt.count());
  return Text + "." + computeMac(Text, FleetKey);
}

Result<Ticket> decodeTicket(std::string_view Text, std::string_view FleetKey) {
  Error Invalid{ErrorKind::TicketInvalid, "the ticket is not valid",
                "take a new one by POST /v1/tickets and use it unchanged"};
  if (Text.size() > MaxTicketLength)
    return Invalid;
  std::vector<std::string_view> Parts = splitFromRight(Text, 5);
  if (Parts.size() != 5)
    return Invalid;
  std::string_view Signed = Text.substr(0, Text.size() - Parts[4].size() - 1);
  std::string Expected = computeMac(Signed, FleetKey);
  // Compared in constant time, so that the MAC can't be found byte by byte from
  // response times.
  if (Expected.size() != Parts[4].size() ||
      CRYPTO_memcmp(Expected.data(), Parts[4].data(), Expected.size()) != 0)
    return Invalid;

  Ticket T;
  std::optional<IncarnationId> Incarnation = parseIncarnation(Parts[1]);
  int64_t Issued = 0;
  if (!Incarnation || !parseNumber(Parts[2], T.Sequence.Value) ||
      !parseNumber(Parts[3], Issued))
    return Invalid;
  T.Incarnation = *Incarnation;
  T.IssuedAt = std::chrono::milliseconds(Issued);
  std::string_view Prefix = Parts[0];
  size_t First = Prefix.find('.');
  size_t Second =
      First == std::string_view::npos ? First : Prefix.find('.', First + 1);
  if (Second == std::string_view::npos ||
      Prefix.substr(0, First) != TicketVersion)
    return Invalid;
  T.Centre.Value = std::string(Prefix.substr(First + 1, Second - First - 1));
  T.Home.Value = std::string(Prefix.substr(Second + 1));
  std::replace(T.Home.Value.begin(), T.Home.Value.end(), '_', ':');
  return T;
}

} // namespace snipeshunt
