// Parses /proc/PID/stat and /proc/PID/statm.
#include "usage.hpp"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace quilltide::standin {

double cpuSecondsOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text{std::istreambuf_iterator<char>(file), {}};
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t residentBytesOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::size_t total = 0, resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace quilltide::standin
