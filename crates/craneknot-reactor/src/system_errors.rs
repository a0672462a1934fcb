//! Which failures of system calls pass by themselves, in one table: a caller tries again after those, and gives up
//! after all others. Source: the manual pages accept(2), socket(2), connect(2), epoll_ctl(2) and bind(2) of Linux.

use std::io;

/// Failures that say nothing of the object the call was made on: the system or the process is short of something, or
/// a signal interrupted the call.
const SHORTAGES: &[i32] =
    &[libc::EINTR, libc::EAGAIN, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC];

/// Failures of one connection that `accept` passes on: the next connection may be sound.
const FAILED_CONNECTIONS: &[i32] = &[
    libc::ECONNABORTED,
    libc::EPROTO,
    libc::EPERM,
    libc::ENETDOWN,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
    libc::ETIMEDOUT,
    libc::ECONNRESET,
];

/// Failures of an address that is not free or not up yet: a predecessor may still be closing.
const ADDRESS_NOT_READY: &[i32] = &[libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|code| codes.contains(&code))
}

/// Whether the system is short of something for a moment, or a signal came: the same call may succeed later, and the
/// object that it was made on is as it was.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, SHORTAGES) || error.kind() == io::ErrorKind::WouldBlock
}

/// Whether an accepted connection failed before it was handed over, and the listener is sound.
pub fn is_failed_connection(error: &io::Error) -> bool {
    is_one_of(error, FAILED_CONNECTIONS)
}

/// Whether a start that failed so may succeed a moment later.
pub fn is_transient_at_start(error: &io::Error) -> bool {
    is_transient(error) || is_one_of(error, ADDRESS_NOT_READY) || is_one_of(error, &[libc::EIO])
}

/// Whether a read or write failed by what the network told of a connection, which may stand all the same. Of one that does
/// not, the next read or write tells.
pub fn is_soft_network_error(error: &io::Error) -> bool {
    is_one_of(error, &[libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::ENETDOWN])
}

/// Whether a dial failed on our own side, before the neighbour had any part in it: for want of a descriptor, a buffer, an
/// address or a route.
pub fn is_local_failure(error: &io::Error) -> bool {
    is_transient(error) || is_one_of(error, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN])
}
