/// \file Encodes and decodes base64 with padding, using OpenSSL.
#include "core/base64_func.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace snipeshunt {

namespace {

/// Returns for each byte whether it is a character of base64. A search of the
/// alphabet for each character takes ten times as long as the decoding.
std::array<bool, 256> makeAlphabet() {
  std::array<bool, 256> Out{};
  for (char C : std::string_view("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                 "rstuvwxyz0123456789+/"))
    Out[static_cast<unsigned char>(C)] = true;
  return Out;
}

bool isBase64(std::string_view Text) {
  static const std::array<bool, 256> Alphabet = makeAlphabet();
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return Alphabet[static_cast<unsigned char>(C)];
  });
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // Three bytes become four characters; OpenSSL appends a zero byte.
  std::string Out((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(Length);
  return Out;
}

Result<std::string> decodeBase64(std::string_view Text) {
  Error Invalid{ErrorKind::InvalidField, "not valid base64",
                "give base64 with padding"};
  size_t Padding = Text.size() - (Text.find_last_not_of('=') + 1);
  // OpenSSL skips white space and accepts padding anywhere, so the text is
  // checked here first.
  if (Text.size() % 4 != 0 || Padding > 2 ||
      !isBase64(Text.substr(0, Text.size() - Padding)))
    return Invalid;
  std::string Out(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return Invalid;
  // The length that OpenSSL returns includes one byte for each padding
  // character.
  Out.resize(Length - Padding);
  return Out;
}

} // namespace snipeshunt
