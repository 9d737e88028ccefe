// Makes system calls of a process fail now and then, as Linux documents; preloaded by test_failing_system_calls.py.
// FAIL_SEED, FAIL_AFTER_S and FAIL_<CALL> (a probability) come from the environment.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = dlsym(RTLD_NEXT, #name)
#define FAIL(errors) return errno = errors[next_random() % (sizeof errors / sizeof *errors)], -1

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH};
static const int SOCKET_ERRORS[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS, ECONNREFUSED};
static const int FILE_ERRORS[] = {ENOSPC, EIO};
static const int INTERRUPTED[] = {EINTR};

static unsigned long long state = 88172645463325252ULL;
static double failing_from;

static unsigned long long next_random(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static double number(const char *name) {
    const char *value = getenv(name);
    return value ? atof(value) : 0;
}

static double now(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec + time.tv_nsec * 1e-9;
}

__attribute__((constructor)) static void start(void) {
    state ^= (unsigned long long)number("FAIL_SEED") * 7919 + 1;
    failing_from = now() + number("FAIL_AFTER_S");
}

static int fails(const char *name) {
    double probability = number(name);
    return probability > 0 && now() >= failing_from && (next_random() % 1000000) < probability * 1000000;
}

static int is_tcp(int descriptor) {
    int type, before = errno;
    socklen_t length = sizeof type;
    int failed = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length);
    errno = before;
    return !failed && type == SOCK_STREAM;
}

static int is_in_state_directory(int descriptor) {
    char link[64], path[4096];
    int before = errno;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof path - 1);
    const char *directory = getenv("TMPDIR");
    errno = before;
    return length > 0 && directory && !strncmp(path, directory, strlen(directory));
}

static size_t shortened(size_t length) {
    return length > 1 && fails("FAIL_SHORT") ? 1 + next_random() % (length < 200 ? length : 200) : length;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (fails("FAIL_ACCEPT")) FAIL(ACCEPT_ERRORS);
    return real(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    return accept4(descriptor, address, length, 0);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (fails("FAIL_SOCKET")) FAIL(SOCKET_ERRORS);
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (is_tcp(descriptor) && fails("FAIL_CONNECT")) FAIL(CONNECT_ERRORS);
    return real(descriptor, address, length);
}

ssize_t read(int descriptor, void *buffer, size_t length) {
    REAL(read);
    if (!is_tcp(descriptor)) return real(descriptor, buffer, length);
    if (fails("FAIL_EINTR")) FAIL(INTERRUPTED);
    return real(descriptor, buffer, shortened(length));
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    REAL(write);
    if (descriptor == STDERR_FILENO && fails("FAIL_LOG")) FAIL(FILE_ERRORS);
    if (is_in_state_directory(descriptor) && fails("FAIL_FILE")) FAIL(FILE_ERRORS);
    if (!is_tcp(descriptor)) return real(descriptor, buffer, length);
    if (fails("FAIL_EINTR")) FAIL(INTERRUPTED);
    return real(descriptor, buffer, shortened(length));
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (fails("FAIL_FILE")) FAIL(FILE_ERRORS);
    return real(from, to);
}

int posix_fallocate64(int descriptor, off64_t offset, off64_t length) {
    REAL(posix_fallocate64);
    return fails("FAIL_FILE") ? ENOSPC : real(descriptor, offset, length);
}

int epoll_pwait(int descriptor, struct epoll_event *events, int count, int timeout, const sigset_t *signals) {
    REAL(epoll_pwait);
    if (fails("FAIL_EINTR")) FAIL(INTERRUPTED);
    return real(descriptor, events, count, timeout, signals);
}
