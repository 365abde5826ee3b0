#include "cli/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace zinniacart {
namespace {

using nlohmann::json;

std::string Cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<std::string> ColumnsOf(const json& rows) {
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string Pad(const std::string& text, std::size_t width) {
  const std::size_t missing = width > text.size() ? width - text.size() : 0;
  return text + std::string(missing + 2, ' ');
}

std::string RowsToTable(const json& rows) {
  const auto columns = ColumnsOf(rows);
  std::string text;
  std::vector<std::size_t> widths;
  for (const auto& column : columns) {
    std::size_t width = column.size();
    for (const auto& row : rows) {
      width = std::max(width, Cell(row.value(column, json(""))).size());
    }
    widths.push_back(width);
    text += Pad(column, width);
  }
  text += "\n";
  for (const auto& row : rows) {
    for (std::size_t index = 0; index < columns.size(); ++index) {
      text += Pad(Cell(row.value(columns[index], json(""))), widths[index]);
    }
    text += "\n";
  }
  return text;
}

bool IsTable(const json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

}  // namespace

std::string ToTable(const json& body) {
  if (IsTable(body)) {
    return RowsToTable(body);
  }
  if (!body.is_object()) {
    return Cell(body) + "\n";
  }
  std::string text;
  std::string tables;
  for (const auto& [name, value] : body.items()) {
    if (IsTable(value)) {
      tables += "\n" + name + ":\n" + RowsToTable(value);
    } else {
      text += name + ": " + Cell(value) + "\n";
    }
  }
  return text + tables;
}

}  // namespace zinniacart
