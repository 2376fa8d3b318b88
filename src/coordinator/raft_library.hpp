// Includes the C-Raft headers, which lack their own extern "C".
#pragma once

#include <uv.h>
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
