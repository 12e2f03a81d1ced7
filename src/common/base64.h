#pragma once

#include <absl/strings/escaping.h>

#include <string>
#include <string_view>

namespace Gypsumtally
{

/// Returns @p bytes as standard base64 with padding. Thread-safe.
inline std::string encodeBase64(std::string_view bytes)
{
    return absl::Base64Escape({bytes.data(), bytes.size()});
}

/// Returns the bytes of base64 @p text, or an empty string if it is invalid. Thread-safe.
inline std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    return absl::Base64Unescape({text.data(), text.size()}, &bytes) ? bytes : std::string{};
}

} // namespace Gypsumtally
