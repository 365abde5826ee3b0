#include "base/bounded_output.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <string>

#include "base/log_budget.h"

using namespace zinniacart;

namespace {

/// A pipe whose descriptors are closed on destruction.
class Pipe final {
 public:
  Pipe() { CHECK(pipe(m_descriptors.data()) == 0); }
  ~Pipe() {
    close(m_descriptors[0]);
    close(m_descriptors[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_descriptor() const { return m_descriptors[1]; }
  /// @returns up to 4096 bytes of what was written to the pipe.
  std::string Read() const {
    std::array<char, 4096> bytes{};
    const ssize_t count = read(m_descriptors[0], bytes.data(), bytes.size());
    return std::string(bytes.data(), count > 0 ? std::size_t(count) : 0);
  }

 private:
  std::array<int, 2> m_descriptors{};
};

}  // namespace

TEST_GROUP(BoundedOutput) {
  Pipe pipe;
};

TEST(BoundedOutput, FlushWritesAddedLinesInOrder) {
  BoundedOutput output(pipe.write_descriptor());
  output.Add("one");
  output.Add("two");
  output.Flush();
  STRCMP_EQUAL("one\ntwo\n", pipe.Read().c_str());
}

// Guards against logging that blocks the event loop: the pipe fills up because
// nothing reads it, and a blocking write would make this test hang.
TEST(BoundedOutput, FlushDoesNotBlockOnStalledReader) {
  BoundedOutput output(pipe.write_descriptor(), 4096);
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) {
    output.Add(line);
    output.Flush();
  }
  CHECK(output.TakeDropped() > 0);
  LONGS_EQUAL(0, output.TakeDropped());
}

TEST_GROUP(LogBudget) {
  ManualClock clock;
};

TEST(LogBudget, LimitsLinesPerSecondOfEachKind) {
  LogBudget budget(2);
  CHECK(budget.Take("a", clock.Now()));
  CHECK(budget.Take("a", clock.Now()));
  CHECK_FALSE(budget.Take("a", clock.Now()));
  CHECK(budget.Take("b", clock.Now()));
  clock.Advance(Duration(1000));
  CHECK(budget.Take("a", clock.Now()));
  LONGS_EQUAL(1, budget.TakeSuppressed());
}
