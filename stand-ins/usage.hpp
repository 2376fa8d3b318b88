// Resource usage of a process, read from /proc.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace quilltide::standin {

// User and system time of the process, with the resolution of the clock tick (usually 10 ms).
double cpuSecondsOf(pid_t pid);
// Current resident set size.
std::size_t residentBytesOf(pid_t pid);

}  // namespace quilltide::standin
