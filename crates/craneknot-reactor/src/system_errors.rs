//! Classification of system call errors: callers retry after transient ones and give up after all others. Source: the
//! Linux manual pages accept(2), socket(2), connect(2), epoll_ctl(2) and bind(2).

use std::io;

/// Errors that say nothing about the object of the call: the system or the process lacks a resource, the call would
/// block, or a signal interrupted it.
const TRANSIENT_ERRORS: &[i32] =
    &[libc::EINTR, libc::EAGAIN, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC];

/// Errors of a single connection that `accept` returns; the next connection may be healthy.
const FAILED_CONNECTION_ERRORS: &[i32] = &[
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

/// Errors of an address that is not free or not up yet: a predecessor may still be closing.
const ADDRESS_NOT_READY_ERRORS: &[i32] =
    &[libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|code| codes.contains(&code))
}

/// Whether the system temporarily lacks a resource or a signal interrupted the call: the same call may succeed later,
/// and its object is unchanged.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, TRANSIENT_ERRORS) || error.kind() == io::ErrorKind::WouldBlock
}

/// Whether a connection failed before it was accepted, while the listener is still usable.
pub fn is_failed_connection(error: &io::Error) -> bool {
    is_one_of(error, FAILED_CONNECTION_ERRORS)
}

/// Whether a startup that failed with this error may succeed shortly afterwards.
pub fn is_transient_at_start(error: &io::Error) -> bool {
    is_transient(error) || is_one_of(error, ADDRESS_NOT_READY_ERRORS) || is_one_of(error, &[libc::EIO])
}

/// Whether a read or write failed with a network error after which the connection may still be open. If it is not, the
/// next read or write fails.
pub fn is_soft_network_error(error: &io::Error) -> bool {
    is_one_of(error, &[libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::ENETDOWN])
}

/// Whether a connect failed locally, before the peer was involved: for lack of a descriptor, a buffer, an address or a
/// route.
pub fn is_local_failure(error: &io::Error) -> bool {
    is_transient(error) || is_one_of(error, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN])
}
