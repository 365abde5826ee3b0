#include "base/json_text.h"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <string>

using namespace zinniacart;
using nlohmann::json;

namespace {

std::string Nest(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// @returns whether `ReadInteger` accepts the JSON text.
bool IsInteger(const std::string& text,
               std::int64_t min = 0,
               std::int64_t max = kMaxJsonInteger) {
  try {
    ReadInteger(ParseJson(text), "value", min, max);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

TEST_GROUP(JsonText){};

/// Guards against a message of some MiB that takes the process's memory.
TEST(JsonText, DenseValuesAreRejectedBeforeTheyAreParsed) {
  const std::string text = "[[],[],[]]";
  CHECK(ParseJson(text).is_array());
  CHECK_THROWS(std::invalid_argument, ParseJson(text, 100));
  CHECK(ParseJson(R"(["[[],[],[]]"])", 100).is_array());
  std::string dense = "[";
  while (dense.size() < 4U << 20U) {
    dense += "[],";
  }
  CHECK_THROWS(std::invalid_argument, ParseJson(dense + "1]"));
}

TEST(JsonText, DeepNestingIsRejectedBeforeItIsParsed) {
  CHECK(ParseJson(Nest(kMaxJsonDepth)).is_array());
  CHECK_THROWS(std::invalid_argument, ParseJson(Nest(kMaxJsonDepth + 1)));
  CHECK_THROWS(std::invalid_argument, ParseJson(Nest(1000000)));
  std::string objects;
  for (int level = 0; level < 100000; ++level) {
    objects += R"({"a":)";
  }
  CHECK_THROWS(std::invalid_argument, ParseJson(objects));
}

TEST(JsonText, BracketsInsideStringsDoNotCount) {
  const std::string brackets(1000, '[');
  CHECK(ParseJson("\"" + brackets + "\"").is_string());
  CHECK(ParseJson(R"(["\"[[", ")" + brackets + R"(\\"])").is_array());
  CHECK_THROWS(std::invalid_argument, ParseJson(R"(["\\", )" + brackets + "]"));
}

TEST(JsonText, SiblingsDoNotAddUp) {
  std::string rows = "[";
  for (int row = 0; row < 1000; ++row) {
    rows += "[1],";
  }
  LONGS_EQUAL(1001, ParseJson(rows + "[1]]").size());
}

TEST(JsonText, NumbersOutsideOfTheRangeAreRejected) {
  CHECK(IsInteger("0"));
  CHECK(IsInteger("9007199254740992"));
  CHECK(IsInteger("12.0"));
  CHECK(IsInteger("-5", -5, 5));
  for (const char* text :
       {"-1", "9007199254740993", "9223372036854775807", "18446744073709551615",
        "18446744073709551616", "-9223372036854775808", "1e300", "-1e300",
        "1e999", "true", "null", "\"1\"", "[1]", "{}"}) {
    CHECK_FALSE_TEXT(IsInteger(text), text);
  }
  CHECK_FALSE(IsInteger("6", -5, 5));
  CHECK_FALSE(IsInteger("6", -5, -1));
  CHECK_FALSE(IsInteger("-6.5", -5, 5));
  CHECK_FALSE(IsInteger("9223372036854775808.0", 0,
                        std::numeric_limits<std::int64_t>::max()));
  CHECK_FALSE(IsInteger("-1e19", std::numeric_limits<std::int64_t>::min()));
}

TEST(JsonText, RangeErrorNamesTheFieldAndTheValue) {
  try {
    ReadIntegerField(json{{"cpu", -3}}, "cpu");
    FAIL("accepted");
  } catch (const std::invalid_argument& error) {
    STRCMP_CONTAINS("cpu is -3", error.what());
  }
}

TEST(JsonText, AbsentOptionalNumbersAreZero) {
  LONGS_EQUAL(0, ReadOptionalIntegerField(json{{"a", nullptr}}, "a"));
  LONGS_EQUAL(0, ReadOptionalCountField(json::object(), "a"));
  LONGS_EQUAL(4294967295, ReadOptionalCountField(json{{"a", 4294967295}}, "a"));
  CHECK_THROWS(std::invalid_argument,
               ReadOptionalCountField(json{{"a", 4294967296}}, "a"));
}

TEST(JsonText, OnlyArraysOfCountsAreRead) {
  LONGS_EQUAL(0, ReadOptionalCountsField(json::object(), "a").size());
  LONGS_EQUAL(2, ReadOptionalCountsField(json{{"a", {0, 7}}}, "a").size());
  for (const char* text : {"7", "\"7\"", "[-1]", "[4294967296]", "[[0]]"}) {
    CHECK_THROWS(std::invalid_argument,
                 ReadOptionalCountsField(json{{"a", json::parse(text)}}, "a"));
  }
}

TEST(JsonText, BytesThatAreNotUtf8AreReplacedInOutput) {
  STRCMP_EQUAL("[\"a\xEF\xBF\xBD\"]", DumpJson(json{"a\xFF"}).c_str());
}
