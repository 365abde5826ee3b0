#include "base/bounded_output.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <string>

#include "base/log_budget.h"

using namespace zinniacart;

namespace {

/// Both ends of a pipe, closed at the end.
class Pipe final {
 public:
  Pipe() { CHECK(pipe(m_ends.data()) == 0); }
  ~Pipe() {
    close(m_ends[0]);
    close(m_ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return m_ends[1]; }
  std::string Read() const {
    std::array<char, 4096> bytes{};
    const ssize_t count = read(m_ends[0], bytes.data(), bytes.size());
    return std::string(bytes.data(), count > 0 ? std::size_t(count) : 0);
  }

 private:
  std::array<int, 2> m_ends{};
};

}  // namespace

TEST_GROUP(BoundedOutput) {
  Pipe pipe;
};

TEST(BoundedOutput, LinesReachTheirReader) {
  BoundedOutput output(pipe.writer());
  output.Add("one");
  output.Add("two");
  output.Flush();
  STRCMP_EQUAL("one\ntwo\n", pipe.Read().c_str());
}

// A reader that never reads must not hold up decisions: this test would not
// end if a write waited.
TEST(BoundedOutput, AReaderThatNeverReadsHoldsNothingUp) {
  BoundedOutput output(pipe.writer(), 4096);
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

TEST(LogBudget, EachKindOfLineHasItsOwnBudgetASecond) {
  LogBudget budget(2);
  CHECK(budget.Take("a", clock.Now()));
  CHECK(budget.Take("a", clock.Now()));
  CHECK_FALSE(budget.Take("a", clock.Now()));
  CHECK(budget.Take("b", clock.Now()));
  clock.Advance(Duration(1000));
  CHECK(budget.Take("a", clock.Now()));
  LONGS_EQUAL(1, budget.TakeSuppressed());
}
