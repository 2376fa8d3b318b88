// Library to be preloaded: makes system calls fail, as its control file says (fault_control.hpp).
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "fault_control.hpp"

namespace {

using quilltide::shims::FaultControl;

FaultControl* control() {
  static FaultControl* const mapped = []() -> FaultControl* {
    const char* path = std::getenv("THISTLEYOKE_FAULT_CONTROL");
    const int file = path == nullptr ? -1 : ::open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return nullptr;
    void* address = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return address == MAP_FAILED ? nullptr : static_cast<FaultControl*>(address);
  }();
  return mapped;
}

template <typename Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Whether this write to a socket is one of those that take a single byte.
bool isShortWrite() {
  static std::atomic<std::uint32_t> writes = 0;
  const std::uint32_t interval = control() == nullptr ? 0 : control()->shortSocketWriteInterval.load();
  return interval > 0 && ++writes % interval == 0;
}

// errno of a write to this file; 0 if it succeeds. Standard error is the log.
int fileWriteError(int file) {
  struct stat status {};
  if (control() == nullptr || file == STDERR_FILENO || ::fstat(file, &status) != 0 ||
      !S_ISREG(status.st_mode))
    return 0;
  return control()->fileWriteError.load();
}

}  // namespace

extern "C" {

ssize_t send(int socket, const void* data, size_t size, int flags) {
  static const auto real = next<decltype(send)>("send");
  return real(socket, data, size > 1 && isShortWrite() ? 1 : size, flags);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
  static const auto real = next<decltype(sendmsg)>("sendmsg");
  if (message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0 || !isShortWrite())
    return real(socket, message, flags);
  iovec first{message->msg_iov[0].iov_base, 1};
  msghdr shortened = *message;
  shortened.msg_iov = &first;
  shortened.msg_iovlen = 1;
  return real(socket, &shortened, flags);
}

int clock_gettime(clockid_t clock, timespec* now) {
  static const auto real = next<decltype(clock_gettime)>("clock_gettime");
  const int result = real(clock, now);
  if (clock == CLOCK_REALTIME && control() != nullptr) now->tv_sec += control()->wallClockOffsetS.load();
  return result;
}

ssize_t write(int file, const void* data, size_t size) {
  static const auto real = next<decltype(write)>("write");
  if (const int error = fileWriteError(file); error != 0) {
    errno = error;
    return -1;
  }
  return real(file, data, size);
}
}
