// Loaded into a process with LD_PRELOAD: refuses there what the platform's mass days refuse a broker, so that
// a story can start the broker as the deploy file's `run` does and see it serve all the same.
//
// It confines only the program named by CAIRNHUB_CONFINE (a resolved path), so that the shell of `run` can
// still `exec` it. Starting other programs, fork, io_uring, splice and sendfile end the process at once
// (SIGSYS): the broker must never try them, and a story sees the attempt as the program's end by signal 31.
// clone3 answers ENOSYS, so that threads are made through clone, whose flags the filter can see. Sockets of
// any family but IPv4 answer EAFNOSUPPORT, as a broker may probe and go on.
#include <linux/sched.h>
#include <seccomp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <initializer_list>

namespace {

[[noreturn]] void fails(const char* what, int error) {
  std::fprintf(stderr, "confine: %s: %s\n", what, std::strerror(error));
  std::_Exit(126);
}

void refuse(scmp_filter_ctx filter, uint32_t action, const char* call) {
  const int number = seccomp_syscall_resolve_name(call);
  if (number == __NR_SCMP_ERROR) fails(call, ENOSYS);
  if (const int error = seccomp_rule_add(filter, action, number, 0); error < 0) fails(call, -error);
}

__attribute__((constructor)) void confine() {
  const char* target = std::getenv("CAIRNHUB_CONFINE");
  char self[PATH_MAX];
  const ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);
  if (target == nullptr || length <= 0) return;
  self[length] = '\0';
  if (std::strcmp(self, target) != 0) return;
  scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);  // also sets no_new_privs: no rights are needed
  if (filter == nullptr) fails("seccomp_init", ENOMEM);
  for (const char* call : {"fork", "vfork", "execve", "execveat", "io_uring_setup", "io_uring_enter",
                           "io_uring_register", "splice", "sendfile"})
    refuse(filter, SCMP_ACT_KILL_PROCESS, call);
  int error = seccomp_rule_add(filter, SCMP_ACT_KILL_PROCESS, SCMP_SYS(clone), 1,
                               SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));  // a new process, not a thread
  if (error == 0) error = seccomp_rule_add(filter, SCMP_ACT_ERRNO(ENOSYS), SCMP_SYS(clone3), 0);
  if (error == 0)
    error = seccomp_rule_add(filter, SCMP_ACT_ERRNO(EAFNOSUPPORT), SCMP_SYS(socket), 1,
                             SCMP_A0(SCMP_CMP_NE, AF_INET));
  if (error == 0) error = seccomp_rule_add(filter, SCMP_ACT_ERRNO(EAFNOSUPPORT), SCMP_SYS(socketpair), 0);
  if (error == 0) error = seccomp_load(filter);
  if (error < 0) fails("seccomp", -error);
  seccomp_release(filter);
}

}  // namespace
