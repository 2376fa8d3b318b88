// What a process has used, as the system tells it.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace quilltide::standin {

double cpuSecondsOf(pid_t pid);          // in ticks of 10 ms
std::size_t residentBytesOf(pid_t pid);  // now

}  // namespace quilltide::standin
