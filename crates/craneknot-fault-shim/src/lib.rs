//! A library that tests load into a process with `LD_PRELOAD`. It makes system calls fail in ways that Linux
//! documents and steps the wall clock. The program itself never uses it.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `CRANEKNOT_FAULTS` | rules, separated by `;`, such as `accept4=ECONNABORTED@0.2` (one call in five) or `socket=ENFILE#3` (the first three calls); `SHORT` instead of an error limits a read or write to one byte |
//! | `CRANEKNOT_FAULT_SEED` | seed of the random choice of calls; 0 by default |
//! | `CRANEKNOT_WALL_OFFSET_S` | seconds added to the wall clock, a whole number |
//! | `CRANEKNOT_WALL_OFFSET_FILE` | a file with such a number, read on every call to the clock, so that a test can step it |
//!
//! Faults are injected into socket calls on IPv4 sockets only, and into `write` on standard error only. The
//! monotonic clock is not changed.

mod real_function;
mod rules;

use std::ffi::{c_char, c_int, c_void};

use libc::{iovec, mode_t, pthread_attr_t, pthread_t, sockaddr, socklen_t, ssize_t, timespec};

use real_function::real_function;
use rules::{Call, Outcome};

/// Sets `errno` and returns the value of a failed call.
fn fail(code: c_int) -> c_int {
    // SAFETY: the location belongs to this thread.
    unsafe { *libc::__errno_location() = code };
    -1
}

fn is_ipv4(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let option = (&raw mut domain).cast::<c_void>();
    // SAFETY: the option is an int, and both pointers are valid for the call.
    let status = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, option, &raw mut length) };
    status == 0 && domain == libc::AF_INET
}

/// The outcome of a call on a descriptor: [`Outcome::Pass`] unless it is an IPv4 socket.
fn socket_outcome(call: Call, fd: c_int) -> Outcome {
    if !rules::has_rule(call) || !is_ipv4(fd) {
        return Outcome::Pass;
    }
    rules::outcome(call)
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        if let Outcome::Fail(code) = rules::outcome(Call::Socket) {
            return fail(code);
        }
    }
    let call: extern "C" fn(c_int, c_int, c_int) -> c_int = real_function!(b"socket\0");
    call(domain, kind, protocol)
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Outcome::Fail(code) = socket_outcome(Call::Accept4, fd) {
        return fail(code);
    }
    let call: extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int =
        real_function!(b"accept4\0");
    call(fd, address, length, flags)
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Outcome::Fail(code) = socket_outcome(Call::Connect, fd) {
        return fail(code);
    }
    let call: extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int = real_function!(b"connect\0");
    call(fd, address, length)
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t {
    let call: extern "C" fn(c_int, *mut c_void, usize, c_int) -> ssize_t = real_function!(b"recv\0");
    match socket_outcome(Call::Recv, fd) {
        Outcome::Pass => call(fd, buffer, length, flags),
        Outcome::Short => call(fd, buffer, length.min(1), flags),
        Outcome::Fail(code) => fail(code) as ssize_t,
    }
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t {
    let call: extern "C" fn(c_int, *const c_void, usize, c_int) -> ssize_t = real_function!(b"send\0");
    match socket_outcome(Call::Send, fd) {
        Outcome::Pass => call(fd, buffer, length, flags),
        Outcome::Short => call(fd, buffer, length.min(1), flags),
        Outcome::Fail(code) => fail(code) as ssize_t,
    }
}

/// # Safety
/// As writev(2).
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let call: extern "C" fn(c_int, *const iovec, c_int) -> ssize_t = real_function!(b"writev\0");
    match socket_outcome(Call::Writev, fd) {
        Outcome::Pass => call(fd, parts, count),
        Outcome::Short if count > 0 && (*parts).iov_len > 0 => {
            let first = iovec { iov_base: (*parts).iov_base, iov_len: 1 };
            call(fd, &raw const first, 1)
        }
        Outcome::Short => call(fd, parts, count),
        Outcome::Fail(code) => fail(code) as ssize_t,
    }
}

/// # Safety
/// As epoll_ctl(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation != libc::EPOLL_CTL_DEL {
        if let Outcome::Fail(code) = socket_outcome(Call::EpollCtl, fd) {
            return fail(code);
        }
    }
    let call: extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int =
        real_function!(b"epoll_ctl\0");
    call(epoll, operation, fd, event)
}

/// # Safety
/// As epoll_wait(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Outcome::Fail(code) = rules::outcome(Call::EpollWait) {
        return fail(code);
    }
    let call: extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int =
        real_function!(b"epoll_wait\0");
    call(epoll, events, max_events, timeout)
}

/// # Safety
/// As open(2).
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if let Outcome::Fail(code) = rules::outcome(Call::Open) {
        return fail(code);
    }
    let call: extern "C" fn(*const c_char, c_int, mode_t) -> c_int = real_function!(b"open64\0");
    call(path, flags, mode)
}

/// # Safety
/// As fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Outcome::Fail(code) = rules::outcome(Call::Fsync) {
        return fail(code);
    }
    let call: extern "C" fn(c_int) -> c_int = real_function!(b"fsync\0");
    call(fd)
}

/// # Safety
/// As write(2).
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let call: extern "C" fn(c_int, *const c_void, usize) -> ssize_t = real_function!(b"write\0");
    if fd != libc::STDERR_FILENO {
        return call(fd, buffer, length);
    }
    match rules::outcome(Call::Write) {
        Outcome::Pass => call(fd, buffer, length),
        Outcome::Short => call(fd, buffer, length.min(1)),
        Outcome::Fail(code) => fail(code) as ssize_t,
    }
}

/// The function that a new thread runs.
type ThreadStart = extern "C" fn(*mut c_void) -> *mut c_void;

/// # Safety
/// As pthread_create(3).
#[no_mangle]
pub unsafe extern "C" fn pthread_create(
    thread: *mut pthread_t,
    attributes: *const pthread_attr_t,
    start: ThreadStart,
    argument: *mut c_void,
) -> c_int {
    if let Outcome::Fail(code) = rules::outcome(Call::PthreadCreate) {
        return code;
    }
    let call: extern "C" fn(*mut pthread_t, *const pthread_attr_t, ThreadStart, *mut c_void) -> c_int =
        real_function!(b"pthread_create\0");
    call(thread, attributes, start, argument)
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let call: extern "C" fn(c_int, *mut timespec) -> c_int = real_function!(b"clock_gettime\0");
    let status = call(clock, time);
    if status == 0 && clock == libc::CLOCK_REALTIME {
        (*time).tv_sec += rules::wall_offset();
    }
    status
}
