#include "base/resources.h"

#include <algorithm>

namespace zinniacart {
namespace {

double Share(std::int64_t used, std::int64_t total) {
  if (total <= 0) {
    return used > 0 ? 1.0 : 0.0;
  }
  return static_cast<double>(used) / static_cast<double>(total);
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  millicores += other.millicores;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  millicores -= other.millicores;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

Resources Resources::operator+(const Resources& other) const {
  Resources sum = *this;
  sum += other;
  return sum;
}

Resources Resources::operator-(const Resources& other) const {
  Resources difference = *this;
  difference -= other;
  return difference;
}

bool Resources::FitsIn(const Resources& capacity) const {
  return millicores <= capacity.millicores && memory_mb <= capacity.memory_mb &&
         accelerators <= capacity.accelerators;
}

bool Resources::IsNonNegative() const {
  return millicores >= 0 && memory_mb >= 0 && accelerators >= 0;
}

double DominantShare(const Resources& used, const Resources& total) {
  return std::max({Share(used.millicores, total.millicores),
                   Share(used.memory_mb, total.memory_mb),
                   Share(used.accelerators, total.accelerators)});
}

}  // namespace zinniacart
