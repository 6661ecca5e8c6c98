// Planted faults: UMBERHOIST_FAULT names the fault that this process has. Only in test builds.
#pragma once

namespace planted {

bool is(const char* name);
// Kills the process with SIGKILL, as operators do, if this is the fault.
void kill_if(const char* name);
// Called once per turn of the event loop, for faults that belong to no particular line of the daemon.
void on_loop_turn();

}  // namespace planted
