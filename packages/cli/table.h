#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace zinniacart {

/// @returns `body` as a table for people: rows of the first array in it, or
/// its fields line by line.
std::string ToTable(const nlohmann::json& body);

}  // namespace zinniacart
