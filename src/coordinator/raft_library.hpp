// C-Raft's headers, which do not say that they are C.
#pragma once

#include <uv.h>
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
