// Which fault the planted program plays, from UMBERHOIST_FAULT. Test builds alone hold this.
#pragma once

namespace planted {

bool is(const char* name);
void die(const char* name);  // where that is the fault: by SIGKILL, as the operators' kills are
void turn();                 // once a turn of the event loop: faults that belong to no line of the daemon

}  // namespace planted
