/* System calls that fail, stall, or tell another time, for a process that is started with this library preloaded.
 *
 * A file of 64-bit words, named by DOORGRADE_FAULTS, is mapped and shared with the test that started the process:
 * the test writes what is to go wrong, this library counts what has happened. Chance comes from the seed in the file.
 * crates/standins/src/shim.rs is the other side and has the same places.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum place {
    /* Written by the test. */
    SEED = 0,
    CLOCK_OFFSET_NS = 1,  /* added to the wall clock */
    HOLD_MAIN = 2,        /* the main thread is held as it wakes from a wait */
    HOLD_IO = 3,          /* a thread that waits for sockets is held as it wakes */
    FAIL_PER_MILLE = 4,   /* of accept, socket, connect: fail for a moment */
    INTERRUPT_PER_MILLE = 5, /* of waits for sockets: EINTR */
    SHORT_PER_MILLE = 6,  /* of reads and writes on sockets: cut short */
    LOSE_PER_MILLE = 7,   /* of reads on connections made from here: the connection is lost on the way */
    STALL_PER_MILLE = 8,  /* of wakings of either thread: held for up to STALL_US */
    STALL_US = 9,
    DISK_ERRNO = 10,      /* writes and syncs of files fail with this, while it is not 0 */
    /* Written by this library. */
    MAIN_HELD = 32,
    IO_HELD = 33,
    ACCEPTED = 34,
    RECEIVED = 35,        /* reads on sockets that brought something */
    FAILED = 36,          /* calls that were made to fail */
    INTERRUPTED = 37,
    CUT_SHORT = 38,
    LOST = 39,
    STALLED = 40,
    DISK_FAILED = 41,
    PLACES = 64,
};

/* However long a test takes, or if it dies: a held thread goes on after this. */
#define LONGEST_HOLD_MS 20000

static _Atomic int64_t *words;
static _Atomic uint64_t chance;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("DOORGRADE_FAULTS");
    if (!path) return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return;
    void *at = mmap(NULL, PLACES * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (at != MAP_FAILED) {
        words = at;
        chance = (uint64_t)words[SEED];
    }
}

static int64_t told(enum place place) { return words ? words[place] : 0; }

static void count(enum place place) {
    if (words) words[place]++;
}

/* splitmix64: one draw for each number taken from the counter. */
static uint64_t draw(void) {
    uint64_t z = atomic_fetch_add(&chance, 0x9e3779b97f4a7c15u) + 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

static int happens(enum place per_mille) {
    int64_t share = told(per_mille);
    return share > 0 && (int64_t)(draw() % 1000) < share;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static void sleep_us(long us) {
    struct timespec time = {us / 1000000, us % 1000000 * 1000};
    int before = errno;
    syscall(SYS_clock_nanosleep, CLOCK_MONOTONIC, 0, &time, NULL);
    errno = before;
}

static void hold(enum place while_set, enum place held) {
    if (told(while_set)) {
        words[held] = 1;
        for (int ms = 0; told(while_set) && ms < LONGEST_HOLD_MS; ms++) sleep_us(1000);
        words[held] = 0;
    }
    if (happens(STALL_PER_MILLE) && told(STALL_US) > 0) {
        count(STALLED);
        sleep_us((long)(draw() % (uint64_t)told(STALL_US)));
    }
}

static int is_main(void) { return (long)getpid() == gettid(); }

static int fail_one_of(const int *errors, int size) {
    if (!happens(FAIL_PER_MILLE)) return 0;
    count(FAILED);
    errno = errors[draw() % (uint64_t)size];
    return 1;
}

/* Connections that were made from here, by descriptor. */
#define MOST_FDS 4096
static _Atomic char made_here[MOST_FDS];

int accept4(int fd, struct sockaddr *at, socklen_t *size, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EINTR};
    REAL(accept4);
    if (fail_one_of(errors, 5)) return -1;
    int got = real(fd, at, size, flags);
    if (got >= 0) count(ACCEPTED);
    if (got >= 0 && got < MOST_FDS) made_here[got] = 0;
    return got;
}

int socket(int family, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, ENOMEM};
    REAL(socket);
    if (family == AF_INET && fail_one_of(errors, 3)) return -1;
    return real(family, type, protocol);
}

int connect(int fd, const struct sockaddr *at, socklen_t size) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    REAL(connect);
    if (at->sa_family == AF_INET && fail_one_of(errors, 3)) return -1;
    if (fd >= 0 && fd < MOST_FDS) made_here[fd] = 1;
    return real(fd, at, size);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (happens(INTERRUPT_PER_MILLE)) {
        count(INTERRUPTED);
        errno = EINTR;
        return -1;
    }
    int got = real(fd, events, most, timeout);
    hold(HOLD_IO, IO_HELD);
    return got;
}

static size_t cut(size_t size) {
    if (size < 2 || !happens(SHORT_PER_MILLE)) return size;
    count(CUT_SHORT);
    return 1 + draw() % (size - 1);
}

/* Nothing comes or goes over a connection that was lost on the way. */
static int lose(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (fd < 0 || fd >= MOST_FDS || !made_here[fd] || !happens(LOSE_PER_MILLE)) return 0;
    count(LOST);
    struct linger reset = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    syscall(SYS_shutdown, fd, SHUT_RDWR);
    errno = errors[draw() % 3];
    return 1;
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    REAL(recv);
    ssize_t got = real(fd, to, cut(size), flags);
    if (got > 0 && !(flags & MSG_PEEK)) {
        if (lose(fd)) return -1;
        count(RECEIVED);
    }
    return got;
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    REAL(send);
    return real(fd, from, cut(size), flags);
}

int clock_gettime(clockid_t clock, struct timespec *to) {
    REAL(clock_gettime);
    int got = real(clock, to);
    if (got == 0 && clock == CLOCK_REALTIME && told(CLOCK_OFFSET_NS)) {
        int64_t ns = to->tv_sec * INT64_C(1000000000) + to->tv_nsec + told(CLOCK_OFFSET_NS);
        to->tv_sec = ns / 1000000000;
        to->tv_nsec = ns % 1000000000;
    }
    return got;
}

/* The standard library waits for other threads by this. */
long syscall(long number, ...) {
    static long (*real)(long, ...);
    if (!real) real = (long (*)(long, ...))dlsym(RTLD_NEXT, "syscall");
    va_list list;
    va_start(list, number);
    long a[6];
    for (int i = 0; i < 6; i++) a[i] = va_arg(list, long);
    va_end(list);
    long got = real(number, a[0], a[1], a[2], a[3], a[4], a[5]);
    /* FUTEX_WAIT and FUTEX_WAIT_BITSET, private or not. */
    int waits = number == SYS_futex && ((a[1] & 0x7f) == 0 || (a[1] & 0x7f) == 9);
    if (waits && words && is_main()) {
        int before = errno;
        hold(HOLD_MAIN, MAIN_HELD);
        errno = before;
    }
    return got;
}

static int disk_fails(int fd) {
    int64_t error = told(DISK_ERRNO);
    struct stat of;
    if (!error || fd <= 2 || fstat(fd, &of) != 0 || !S_ISREG(of.st_mode)) return 0;
    count(DISK_FAILED);
    errno = (int)error;
    return 1;
}

ssize_t write(int fd, const void *from, size_t size) {
    REAL(write);
    return disk_fails(fd) ? -1 : real(fd, from, size);
}

ssize_t pwrite64(int fd, const void *from, size_t size, off64_t at) {
    REAL(pwrite64);
    return disk_fails(fd) ? -1 : real(fd, from, size, at);
}

int fsync(int fd) {
    REAL(fsync);
    return disk_fails(fd) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return disk_fails(fd) ? -1 : real(fd);
}
